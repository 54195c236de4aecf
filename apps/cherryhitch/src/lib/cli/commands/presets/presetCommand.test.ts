import assert from 'node:assert/strict'
import fs from 'node:fs'
import os from 'node:os'
import path from 'node:path'
import { describe, it } from 'node:test'
import type { TestContext } from 'node:test'
import { ExitCode } from '../../ExitCode'
import { FakeInstance } from '../../fixtures/FakeInstance'
import { runWith } from '../../fixtures/runWith'

const presets = [
  { name: 'ordinary', description: 'For ordinary days.', retryBudget: 0.1 },
  { name: 'peak', description: 'For peaks.', retryBudget: 0.05 },
]
const settings = { version: 12, preset: 'peak', current: true, presets }

function startFake(t: TestContext, current = true): Promise<FakeInstance> {
  return FakeInstance.start(t, ({ method }) => ({
    status: 200,
    body: method === 'GET' ? { ...settings, current } : { commandId: 'c', version: 13 },
  }))
}

function writeFile(t: TestContext, content: unknown): string {
  const folder = fs.mkdtempSync(path.join(os.tmpdir(), 'preset-'))
  t.after(() => {
    fs.rmSync(folder, { recursive: true })
  })
  const file = path.join(folder, 'preset.json')
  fs.writeFileSync(file, typeof content === 'string' ? content : JSON.stringify(content))
  return file
}

describe('preset show and list', () => {
  const cases: readonly (readonly [string, readonly string[], boolean, RegExp])[] = [
    ['the one in force', ['show'], true, /^peak {2}version 12 {2}\(confirmed by the quorum\)$/],
    ['that it is not confirmed', ['show'], false, /version 12 {2}\(newest known here, not conf/],
    ['all, the one in force marked', ['list'], true, /^\* {2}peak {6}For peaks\.$/m],
    ['one definition', ['show', 'ordinary'], true, /^retryBudget {2}0\.1$/m],
  ]
  for (const [what, argv, current, says] of cases) {
    it(`shows ${what}`, async (t) => {
      const fake = await startFake(t, current)
      const run = await runWith(['preset', ...argv, '--url', fake.url])
      assert.equal(run.exitCode, ExitCode.Ok, run.err)
      assert.match(run.out, says)
    })
  }

  it('gives a definition as JSON that "define" takes back', async (t) => {
    const fake = await startFake(t)
    const shown = await runWith(['preset', 'show', 'peak', '--json', '--url', fake.url])
    const file = writeFile(t, shown.out)
    const change = ['--from', '12', '--reason', 'agreed', '--operator', 'mori', '--url', fake.url]
    const defined = await runWith(['preset', 'define', file, ...change])
    assert.equal(defined.out, 'committed as version 13: definition of peak')
    const seen = fake.seen.at(-1)
    assert.equal(`${seen?.method} ${seen?.path}`, 'PUT /v1/presets/peak')
    const { definition, fromVersion } = seen?.body as Record<string, unknown>
    assert.deepEqual(definition, { description: 'For peaks.', retryBudget: 0.05 })
    assert.equal(fromVersion, 12)
  })

  it('knows no other preset', async (t) => {
    const fake = await startFake(t)
    const run = await runWith(['preset', 'show', 'nix', '--url', fake.url])
    assert.equal(run.exitCode, ExitCode.Usage)
    assert.match(run.err, /no preset "nix"/)
  })
})

describe('preset set', () => {
  const change = ['preset', 'set', 'peak', '--from', '12']

  it('sends who, why, from which version and the command id, all as typed', async (t) => {
    const fake = await startFake(t)
    const flags = ['--reason', '2026', '--operator', '007', '--command-id', '0017']
    const run = await runWith([...change, ...flags, '--url', fake.url])
    assert.equal(run.exitCode, ExitCode.Ok, run.err)
    assert.equal(run.err, 'command id 0017')
    assert.equal(run.out, 'committed as version 13: preset peak')
    const seen = fake.seen[0]
    const body = { name: 'peak', fromVersion: 12, reason: '2026', commandId: '0017' }
    assert.deepEqual(seen?.body, body)
    assert.equal(seen.headers['cherryhitch-operator'], '007')
  })

  it('makes a new command id for each new change', async (t) => {
    const fake = await startFake(t)
    const flags = ['--reason', 'r', '--operator', 'mori', '--url', fake.url]
    for (let i = 0; i < 2; i += 1) await runWith([...change, ...flags])
    const ids = fake.seen.map(({ body }) => (body as { commandId: string }).commandId)
    assert.equal(new Set(ids).size, 2)
  })

  it('leaves the name to the token where there is one', async (t) => {
    const fake = await startFake(t)
    const env = { CHERRYHITCH_TOKEN_FILE: writeFile(t, 'token-of-mori-0001\n') }
    const run = await runWith([...change, '--reason', 'r', '--url', fake.url], { env })
    assert.equal(run.exitCode, ExitCode.Ok, run.err)
    assert.equal(fake.seen[0]?.headers.authorization, 'Bearer token-of-mori-0001')
  })
})

describe('preset set --wait', () => {
  const set = ['preset', 'set', 'peak', '--from', '12', '--reason', 'r', '--operator', 'mori']

  /** Instance b1 takes the new version only when it has been asked after so many times. */
  function startSlowInstance(t: TestContext, questions: number): Promise<FakeInstance> {
    let asked = 0
    return FakeInstance.start(t, ({ method }) => {
      if (method === 'PUT') return { status: 200, body: { commandId: 'c', version: 13 } }
      asked += 1
      const b1 = { instance: 'b1', alive: true, settingsVersion: asked > questions ? 13 : 12 }
      const a1 = { instance: 'a1', alive: true, settingsVersion: 13 }
      const dead = { instance: 'c1', alive: false, settingsVersion: 12 }
      return { status: 200, body: { instances: [a1, b1, dead] } }
    })
  }

  it('ends when every living instance works under the version', async (t) => {
    const fake = await startSlowInstance(t, 2)
    const run = await runWith([...set, '--wait', '--url', fake.url])
    assert.equal(run.exitCode, ExitCode.Ok, run.err)
    assert.match(run.err, /version 13 is in use at all 2 instances.*; 1 can't be heard/)
  })

  it('names the instances that lack it after a while', async (t) => {
    const fake = await startSlowInstance(t, Infinity)
    let now = 0
    const io = { now: () => (now += 6000) }
    const run = await runWith([...set, '--wait', '--url', fake.url], io)
    assert.equal(run.exitCode, ExitCode.Failed)
    assert.equal(run.out, 'committed as version 13: preset peak')
    assert.match(run.err, /committed, but not yet in use at b1\.\n.*never reverts/)
  })
})

describe('preset define', () => {
  const cases: readonly (readonly [string, unknown, RegExp])[] = [
    ['is not JSON', '{"name"', /can't be read as JSON.*\n.*preset show NAME --json/],
    ['holds a list of nothing', 'null', /holds no definition/],
    ['gives no name', { description: 'x' }, /no "name"/],
    ['gives an empty name', { name: '' }, /no "name"/],
  ]
  for (const [what, content, says] of cases) {
    it(`refuses a file that ${what}`, async (t) => {
      const run = await runWith(['preset', 'define', writeFile(t, content), '--from', '1'])
      assert.equal(run.exitCode, ExitCode.Usage)
      assert.match(run.err, says)
    })
  }
})
