import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { Effect, Exit, Scope } from 'effect'
import { startMailbox } from './startMailbox'

const turn = (): Promise<void> => new Promise((resolve) => setImmediate(resolve))

/** A mailbox that notes what it takes in. */
function open(onTake: (item: number) => void = () => undefined, gapMs = 0) {
  const taken: (readonly number[])[] = []
  const defects: unknown[] = []
  const scope = Scope.makeUnsafe()
  const started = startMailbox<number>({
    take: (items) => {
      taken.push([...items])
      items.forEach(onTake)
    },
    onDefect: (defect) => {
      defects.push(defect)
    },
    gapMs: () => gapMs,
  })
  const mailbox = Effect.runSync(Scope.provide(started, scope))
  return { mailbox, taken, defects, scope }
}

describe('a mailbox', () => {
  it('takes in together what arrived together, after the sender went on', async () => {
    const { mailbox, taken } = open()
    mailbox.tell(1)
    mailbox.tell(2)
    assert.deepEqual(taken, [])
    assert.equal(mailbox.backlog(), 2)
    await turn()
    assert.deepEqual(taken, [[1, 2]])
    assert.equal(mailbox.backlog(), 0)
  })

  it('takes in later what arrives while it takes in', async () => {
    const { mailbox, taken } = open((item) => {
      if (item === 1) mailbox.tell(2)
    })
    mailbox.tell(1)
    await turn()
    assert.deepEqual(taken, [[1]])
    await turn()
    assert.deepEqual(taken, [[1], [2]])
  })

  it('reports a defect once and takes nothing more', async () => {
    const { mailbox, taken, defects } = open(() => {
      throw new Error('broken')
    })
    mailbox.tell(1)
    await turn()
    mailbox.tell(2)
    await turn()
    assert.equal(defects.length, 1)
    assert.deepEqual(taken, [[1]])
  })

  it('takes the first in at once, and what comes within the gap together', async () => {
    const { mailbox, taken } = open(undefined, 50)
    mailbox.tell(1)
    await turn()
    mailbox.tell(2)
    await turn()
    mailbox.tell(3)
    assert.deepEqual(taken, [[1]])
    while (taken.length < 2) await turn()
    assert.deepEqual(taken, [[1], [2, 3]])
  })

  it('takes nothing after its scope has ended', async () => {
    const { mailbox, taken, scope } = open()
    mailbox.tell(1)
    Effect.runSync(Scope.close(scope, Exit.void))
    mailbox.tell(2)
    await turn()
    assert.deepEqual(taken, [])
  })
})
