/**
 * Starts `dist/cherryhitch` as a lone voter with a stand-in endpoint, and asks it for a job as a
 * user does. Exits with 0 when the whole answer came and the binary drained on SIGTERM.
 */
import { execFile, execFileSync, spawn } from 'node:child_process'
import fs from 'node:fs'
import os from 'node:os'
import path from 'node:path'
import { promisify } from 'node:util'
import { EndpointLedger, startStandInEndpoint } from '@cherryhitch/stand-ins'
import { Effect } from 'effect'
import { findFreePorts } from '../apps/bench/src/lib/system/findFreePorts'

const binary = path.resolve(import.meta.dirname, '../dist/cherryhitch')
const HOST = '127.0.0.1'
const POLL_MS = 100
const GIVE_UP_POLLS = 20
const COMMAND_LIMIT_MS = 10_000
const PORTS = 4

function writeSettings(folder: string, ports: readonly number[]): string {
  const listen = (index: number) => ({ host: HOST, port: ports[index] ?? 0 })
  const settings = {
    instance: 'smoke-1',
    zone: 'smoke',
    interfaces: {
      callers: listen(0),
      endpoints: listen(1),
      operators: listen(2),
      instances: listen(3),
    },
    peers: [],
    voter: true,
    dataFolder: 'data',
    timing: { balancerDelayMs: 100 },
  }
  const file = path.join(folder, 'smoke-1.jsonc')
  fs.writeFileSync(file, JSON.stringify(settings))
  return file
}

/** Does not block: the stand-in endpoint of this process has to run the job meanwhile. */
async function run(args: readonly string[]): Promise<string> {
  const { stdout } = await promisify(execFile)(binary, args, { timeout: COMMAND_LIMIT_MS })
  return stdout
}

/** Asks until the command succeeds: the system needs a moment to get ready. */
function runUntilGood(args: readonly string[]): Effect.Effect<string> {
  return Effect.gen(function* () {
    for (let poll = 0; poll < GIVE_UP_POLLS; poll++) {
      const answer = yield* Effect.promise(() => run(args).catch(() => undefined))
      if (answer !== undefined) return answer
      yield* Effect.sleep(POLL_MS)
    }
    return yield* Effect.die(new Error(`never succeeded: cherryhitch ${args.join(' ')}`))
  })
}

const folder = fs.mkdtempSync(path.join(os.tmpdir(), 'cherryhitch-smoke-'))
const ports = await findFreePorts(PORTS)
const settings = writeSettings(folder, ports)
execFileSync(binary, ['control', 'init', '--settings', settings, '--cluster', 'smoke'])
const daemon = spawn(binary, ['serve', '--settings', settings], { stdio: ['ignore', 'ignore', 2] })
const ended = new Promise<number | null>((resolve) => daemon.on('exit', resolve))

const ask = Effect.gen(function* () {
  const instances = [`${HOST}:${ports[1] ?? 0}`]
  const place = { endpoint: 'w1', service: 'tracing', zone: 'smoke', rack: 'r1' }
  yield* startStandInEndpoint({ ...place, instances, ledger: new EndpointLedger() })
  const url = `http://${HOST}:${ports[0] ?? 0}`
  const payload = JSON.stringify({ runMs: 50, token: 'smoke' })
  const args = ['submit', '--url', url, '--service', 'tracing', '--payload', payload, '--json']
  return yield* runUntilGood(args)
})

const answer = await Effect.runPromise(Effect.scoped(ask)).finally(() => daemon.kill('SIGTERM'))
const code = await ended
fs.rmSync(folder, { recursive: true, force: true })
if (!answer.includes('"succeeded"')) throw new Error(`not a whole answer: ${answer}`)
if (code !== 0) throw new Error(`the binary exited with ${String(code)}`)
process.stdout.write('the binary answered a job and drained\n')
