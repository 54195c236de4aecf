import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { Effect, Exit, Scope } from 'effect'
import { startMailbox } from './startMailbox'

const turn = (): Promise<void> => new Promise((resolve) => setImmediate(resolve))

/** Opens a mailbox that records its batches. */
function open(onItem: (item: number) => void = () => undefined, gapMs = 0) {
  const batches: (readonly number[])[] = []
  const defects: unknown[] = []
  const scope = Scope.makeUnsafe()
  const started = startMailbox<number>({
    handleBatch: (items) => {
      batches.push([...items])
      items.forEach(onItem)
    },
    onDefect: (defect) => {
      defects.push(defect)
    },
    gapMs: () => gapMs,
  })
  const mailbox = Effect.runSync(Scope.provide(started, scope))
  return { mailbox, batches, defects, scope }
}

describe('startMailbox', () => {
  it('handles items that arrived together in one batch, after the sender has returned', async () => {
    const { mailbox, batches } = open()
    mailbox.tell(1)
    mailbox.tell(2)
    assert.deepEqual(batches, [])
    assert.equal(mailbox.backlog(), 2)
    await turn()
    assert.deepEqual(batches, [[1, 2]])
    assert.equal(mailbox.backlog(), 0)
  })

  it('handles an item that arrives during a batch in a later batch', async () => {
    const { mailbox, batches } = open((item) => {
      if (item === 1) mailbox.tell(2)
    })
    mailbox.tell(1)
    await turn()
    assert.deepEqual(batches, [[1]])
    await turn()
    assert.deepEqual(batches, [[1], [2]])
  })

  it('reports a defect once and handles no more items', async () => {
    const { mailbox, batches, defects } = open(() => {
      throw new Error('broken')
    })
    mailbox.tell(1)
    await turn()
    mailbox.tell(2)
    await turn()
    assert.equal(defects.length, 1)
    assert.deepEqual(batches, [[1]])
  })

  it('handles the first item at once and items within the minimum interval in one batch', async () => {
    const { mailbox, batches } = open(undefined, 50)
    mailbox.tell(1)
    await turn()
    mailbox.tell(2)
    await turn()
    mailbox.tell(3)
    assert.deepEqual(batches, [[1]])
    while (batches.length < 2) await turn()
    assert.deepEqual(batches, [[1], [2, 3]])
  })

  it('handles no items after its scope has ended', async () => {
    const { mailbox, batches, scope } = open()
    mailbox.tell(1)
    Effect.runSync(Scope.close(scope, Exit.void))
    mailbox.tell(2)
    await turn()
    assert.deepEqual(batches, [])
  })
})
