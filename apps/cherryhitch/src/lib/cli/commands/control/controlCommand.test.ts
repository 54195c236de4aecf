import assert from 'node:assert/strict'
import fs from 'node:fs'
import os from 'node:os'
import path from 'node:path'
import { describe, it } from 'node:test'
import type { TestContext } from 'node:test'
import { ExitCode } from '../../ExitCode'
import { FakeInstance } from '../../fixtures/FakeInstance'
import { runWith } from '../../fixtures/runWith'

const examples = path.resolve(import.meta.dirname, '../../../../../../../examples/kitaura')

const member = (instance: string, learner: boolean, matchIndex: number) => {
  return { instance, diskId: `${instance}-d`, learner, matchIndex, silentMs: 20.4 }
}
const members = [member('a1', false, 40), member('b1', true, 31)]
const voters = { leader: 'a1', term: 3, commitIndex: 40, safeLosses: 1, members }

/** A copy of an example, since its data folder lies beside it. */
function copyExample(t: TestContext, name: string): string {
  const folder = fs.mkdtempSync(path.join(os.tmpdir(), 'control-'))
  t.after(() => {
    fs.rmSync(folder, { recursive: true })
  })
  const file = path.join(folder, name)
  fs.copyFileSync(path.join(examples, name), file)
  return file
}

describe('control status', () => {
  it('tells the members and how many may be lost', async (t) => {
    let safeLosses = 1
    const body = () => ({ ...voters, safeLosses })
    const fake = await FakeInstance.start(t, () => ({ status: 200, body: body() }))
    const { out } = await runWith(['control', 'status', '--url', fake.url])
    assert.match(out, /^leader a1 {2}term 3 {2}committed 40\nmay lose 1 more/)
    assert.match(out, /^b1 +b1-d +learner +9 +20 ms$/m)
    safeLosses = 0
    assert.match((await runWith(['control', 'status', '--url', fake.url])).out, /may lose NO voter/)
  })
})

describe('a change of the voters', () => {
  const kinds = { add: 'add_learner', promote: 'promote', remove: 'remove' }
  for (const [action, kind] of Object.entries(kinds)) {
    it(`is sent by "${action}" with who and why`, async (t) => {
      const answer = { commandId: 'c', version: 1 }
      const fake = await FakeInstance.start(t, () => ({ status: 200, body: answer }))
      const which = ['--instance', 'b1', '--disk-id', '17', '--url', fake.url]
      const who = ['--reason', 'new disk', '--operator', 'mori', '--command-id', 'c1']
      const run = await runWith(['control', action, ...which, ...who])
      assert.equal(run.out, `committed: ${action} 17 on b1`)
      const change = { kind, instance: 'b1', diskId: '17', reason: 'new disk', commandId: 'c1' }
      assert.deepEqual(fake.seen[0]?.body, change)
    })
  }
})

describe('control init', () => {
  it('makes a voter once only', async (t) => {
    const settings = copyExample(t, 'ishikari-1a.jsonc')
    const init = ['control', 'init', '--settings', settings, '--cluster', '2026']
    const first = await runWith(init)
    assert.equal(first.exitCode, ExitCode.Ok, first.err)
    assert.match(first.out, /ishikari-1a: voter ishikari-1a-2026 is made/)
    const second = await runWith(init)
    assert.equal(second.exitCode, ExitCode.Failed)
    assert.match(second.err, /belongs to disk ishikari-1a-2026 already.*\n.*once only/)
  })

  it('refuses an instance that is no voter', async (t) => {
    const settings = copyExample(t, 'ishikari-1b.jsonc')
    const run = await runWith(['control', 'init', '--settings', settings, '--cluster', 'k'])
    assert.equal(run.exitCode, ExitCode.Usage)
    assert.match(run.err, /ishikari-1b is no voter/)
  })
})
