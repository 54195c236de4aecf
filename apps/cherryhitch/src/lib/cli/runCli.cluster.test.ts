import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { Effect } from 'effect'
import { startCluster } from '../cluster/startCluster'
import { ExitCode } from './ExitCode'
import type { CliRun } from './fixtures/runWith'
import { runWith } from './fixtures/runWith'

const instances = [
  { instance: 'a1', zone: 'z1', voter: true },
  { instance: 'b1', zone: 'z2', voter: true },
  { instance: 'c1', zone: 'z3', voter: true },
]
const POLL_MS = 100
/** Far more than it takes; a test that reaches it fails. */
const GIVE_UP_MS = 20_000

type Run = (...argv: readonly string[]) => Promise<CliRun>

/** Runs a story against three instances and a stand-in endpoint, all in this process. */
async function withSystem(story: (run: Run) => Promise<void>): Promise<void> {
  const system = Effect.gen(function* () {
    const [first] = yield* startCluster({ instances })
    if (first === undefined) throw new Error('no instance was started')
    const { callers, operators, endpoints } = first.ports
    let stop = (): void => undefined
    const stopped = new Promise<string>((resolve) => {
      stop = () => {
        resolve('SIGINT')
      }
    })
    const env = {
      CHERRYHITCH_CALLERS_URL: `http://127.0.0.1:${callers}`,
      CHERRYHITCH_OPERATORS_URL: `http://127.0.0.1:${operators}`,
    }
    const io = { env, now: () => Date.now(), awaitStop: () => stopped }
    const address = `127.0.0.1:${endpoints}`
    const place = ['--service', 'tracing', '--zone', 'z1', '--instances', address]
    const standIn = runWith(['stand-in-endpoint', ...place], io)
    const end = yield* Effect.exit(Effect.promise(() => story((...argv) => runWith(argv, io))))
    stop()
    const left = yield* Effect.promise(() => standIn)
    yield* end
    assert.equal(left.exitCode, ExitCode.Ok, left.err)
    assert.match(left.out, /leaving/)
  })
  await Effect.runPromise(Effect.scoped(system))
}

async function eventually(run: () => Promise<CliRun>, says: RegExp): Promise<CliRun> {
  const startedAt = Date.now()
  for (;;) {
    const seen = await run()
    if (says.test(seen.out)) return seen
    if (Date.now() - startedAt > GIVE_UP_MS) assert.match(seen.out + seen.err, says)
    await new Promise((resolve) => setTimeout(resolve, POLL_MS))
  }
}

describe('the command line against running instances', () => {
  it('goes through an operator’s day', () =>
    withSystem(async (run) => {
      await eventually(() => run('instances'), /tracing 8\/8/)
      await eventually(() => run('endpoints'), /stand-in-1 +tracing +z1 .*\n\n1 endpoints, 0 of 8/)
      const answer = await run('submit', '--service', 'tracing', '--payload', '{"runMs":20}')
      assert.match(answer.out, /succeeded\n0 {2}\{.*"endpoint":"stand-in-1"\}$/)
      const once = ['submit', '--service', 'tracing', '--non-idempotent', '--key', '007']
      const [first, again] = [await run(...once), await run(...once)]
      assert.equal(first.exitCode, ExitCode.Ok, first.err)
      assert.equal(again.out, first.out, 'a resend gets the first answer')

      const set = ['preset', 'set', 'peak', '--from', '1', '--operator', 'mori']
      const change = [...set, '--reason', 'burst', '--command-id', '0017']
      assert.equal((await run(...change)).out, 'committed as version 2: preset peak')
      assert.equal((await run(...change)).out, 'committed as version 2: preset peak')
      const late = await run(...set, '--reason', 'the same version')
      assert.equal(late.exitCode, ExitCode.Conflict)
      assert.match(late.err, /made by mori \(0017\)/)
      await eventually(() => run('preset', 'show'), /^peak {2}version 2/)
      await eventually(() => run('audit', 'in-force'), /peak, version 2, in force in the whole/)
      const listed = (await run('audit', 'list')).out
      assert.equal(listed.match(/preset_set/g)?.length, 1, 'a resend changes nothing')
      assert.match((await run('audit', 'verify')).out, /chain unbroken/)
      assert.match((await run('control', 'status')).out, /may lose 1 more/)
    }))
})
