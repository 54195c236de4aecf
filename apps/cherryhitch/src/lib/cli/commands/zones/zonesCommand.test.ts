import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import type { TestContext } from 'node:test'
import { ExitCode } from '../../ExitCode'
import { FakeInstance } from '../../fixtures/FakeInstance'
import { runWith } from '../../fixtures/runWith'

const at = '2026-12-03T09:00:00.000Z'
const change = { version: 12, operator: 'mori', reason: 'power', at }
const zones = [
  { zone: 'north', drained: true, ...change },
  { zone: 'south', drained: false, ...change },
]

function startFake(t: TestContext): Promise<FakeInstance> {
  return FakeInstance.start(t, ({ method }) => ({
    status: 200,
    body: method === 'GET' ? { version: 12, current: true, zones } : { version: 13 },
  }))
}

describe('zones list', () => {
  it('shows which zones are drained, since when, by whom and why', async (t) => {
    const fake = await startFake(t)
    const run = await runWith(['zones', 'list', '--url', fake.url])
    assert.equal(run.exitCode, ExitCode.Ok, run.err)
    assert.match(run.out, /^north {2}drained {2}12 +2026-12-03T09:00:00\.000Z {2}mori +power$/m)
    assert.match(run.out, /^south {2}in use/m)
  })
})

describe('zones drain and restore', () => {
  for (const [action, drained] of [
    ['drain', true],
    ['restore', false],
  ] as const) {
    it(`${action} sends who, why and the version that the order starts from`, async (t) => {
      const fake = await startFake(t)
      const flags = ['--reason', 'power', '--operator', 'mori', '--command-id', '7']
      const run = await runWith(['zones', action, 'north', ...flags, '--url', fake.url])
      assert.equal(run.exitCode, ExitCode.Ok, run.err)
      const seen = fake.seen.at(-1)
      assert.equal(`${seen?.method} ${seen?.path}`, 'PUT /v1/zones/north')
      const body = { drained, fromVersion: 12, reason: 'power', commandId: '7' }
      assert.deepEqual(seen?.body, body)
    })
  }

  it('asks for a zone and a reason', async () => {
    for (const words of [['drain'], ['drain', 'north', '--operator', 'mori'], ['empty', 'north']]) {
      const run = await runWith(['zones', ...words, '--url', 'http://127.0.0.1:1'])
      assert.notEqual(run.exitCode, ExitCode.Ok)
    }
  })
})
