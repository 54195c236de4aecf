import assert from 'node:assert/strict'
import { once } from 'node:events'
import http from 'node:http'
import type { AddressInfo } from 'node:net'
import { describe, it } from 'node:test'
import { Effect } from 'effect'
import type { Scope } from 'effect'
import { readJsonBody, writeReply } from '../http/serverReplies'
import { CallerLedger, CallerOutcome } from '../ledger/CallerLedger'
import type { CallerAttempt } from '../ledger/CallerLedger'
import { startBalancer } from './Balancer'
import { callerPool } from './CallerPool'
import type { CallerPoolInput } from './CallerPool'
import type { JobRequest } from './JobRequest'
import { PatientResubmit } from './ResubmitRule'
import { SubmitStyle } from './StandInCaller'

type Handler = (req: http.IncomingMessage, body: unknown, res: http.ServerResponse) => void

const job: JobRequest = {
  submission: 's1',
  caller: 'desk',
  key: 'k1',
  idempotent: false,
  deadlineMs: 5000,
  arrivalMs: 0,
  tasks: [{ service: 'trace', token: 't0', runMs: 1 }],
}

/** An instance as small as can be: ready, and answering jobs with the handler. */
async function startInstance(handle: Handler): Promise<http.Server> {
  const server = http.createServer((req, res) => {
    if (req.url === '/readyz') writeReply(res, { status: 200, body: {} })
    else {
      readJsonBody(req, (body) => {
        handle(req, body, res)
      })
    }
  })
  await once(server.listen(0, '127.0.0.1'), 'listening')
  return server
}

function addressOf(server: http.Server): string {
  return `127.0.0.1:${(server.address() as AddressInfo).port}`
}

interface Played {
  readonly attempts: readonly CallerAttempt[]
  readonly requests: number
}

async function play(
  handlers: readonly Handler[],
  input: Partial<CallerPoolInput> = {},
  change: Partial<JobRequest> = {},
  beforeSubmit: (servers: readonly http.Server[]) => void = () => undefined,
): Promise<Played> {
  const servers = await Promise.all(handlers.map(startInstance))
  const ledger = new CallerLedger()
  const program: Effect.Effect<void, never, Scope.Scope> = Effect.gen(function* () {
    const balancer = yield* startBalancer({ instances: servers.map(addressOf), checkMs: 5000 })
    const pool = yield* callerPool({ balancer, ledger, patienceMs: 100, ...input })
    beforeSubmit(servers)
    yield* pool.play([{ ...job, ...change }])
  })
  await Effect.runPromise(Effect.scoped(program))
  for (const server of servers) {
    server.closeAllConnections()
    server.close()
  }
  return { attempts: ledger.attempts, requests: ledger.requests }
}

const whole = { jobId: 'i1.1.1', outputs: [{ token: 't0', taskId: 'i1.1.1.0' }] }
const answerWhole: Handler = (_req, _body, res) => {
  writeReply(res, { status: 200, body: whole })
}
const problem =
  (status: number, ran: string | undefined, retryAfter?: number): Handler =>
  (_req, _body, res) => {
    writeReply(res, { status, body: { status, ran, jobId: 'i1.1.1', retryAfter } })
  }
const breakOff: Handler = (_req, _body, res) => {
  res.destroy()
}
const staySilent: Handler = () => undefined

/** Answers the first request in one way and the later ones in another. */
function firstThen(first: Handler, later: Handler): Handler {
  let requests = 0
  return (req, body, res) => {
    requests++
    const handle = requests === 1 ? first : later
    handle(req, body, res)
  }
}

describe('a stand-in caller', () => {
  const cases: [string, Handler, CallerOutcome][] = [
    ['outputs', answerWhole, CallerOutcome.Answered],
    ['a refusal', problem(429, 'no'), CallerOutcome.NotRun],
    ['a failure', problem(502, 'unknown'), CallerOutcome.Unknown],
    ['a problem without `ran`', problem(500, undefined), CallerOutcome.Malformed],
    ['a broken connection', breakOff, CallerOutcome.Broken],
    ['silence', staySilent, CallerOutcome.TimedOut],
  ]
  for (const [name, handler, outcome] of cases) {
    const deadlineMs = outcome === CallerOutcome.TimedOut ? 50 : 5000
    it(`writes down ${name} as ${outcome}`, async () => {
      const { attempts } = await play([handler], {}, { deadlineMs })
      assert.deepEqual(
        attempts.map((attempt) => attempt.outcome),
        [outcome],
      )
    })
  }

  it('sends the job as the interface asks', async () => {
    let seen: unknown
    await play([
      (req, body, res) => {
        const { 'idempotency-key': key, 'cherryhitch-caller': caller } = req.headers
        seen = { method: req.method, url: req.url, key, caller, body }
        writeReply(res, { status: 200, body: whole })
      },
    ])
    const tasks = [{ service: 'trace', payload: { runMs: 1, token: 't0' } }]
    const body = { idempotent: false, deadlineMs: 5000, tasks }
    assert.deepEqual(seen, { method: 'POST', url: '/v1/jobs', key: 'k1', caller: 'desk', body })
  })

  it('passes on to the next instance when a connection is refused', async () => {
    const { attempts, requests } = await play([breakOff, answerWhole], {}, {}, ([first]) => {
      first?.close()
      first?.closeAllConnections()
    })
    assert.deepEqual([attempts[0]?.outcome, requests], [CallerOutcome.Answered, 2])
  })

  it('says that nothing was sent when no instance takes the connection', async () => {
    const { attempts, requests } = await play([answerWhole], {}, {}, ([first]) => {
      first?.close()
      first?.closeAllConnections()
    })
    assert.deepEqual([attempts[0]?.outcome, requests], [CallerOutcome.NotConnected, 1])
  })

  it('hangs up when it gives up waiting', async () => {
    let hungUp: Promise<unknown> = Promise.resolve()
    const handler: Handler = (_req, _body, res) => {
      hungUp = once(res, 'close')
    }
    const { attempts } = await play([handler], {}, { cancelAfterMs: 20 })
    await hungUp
    assert.equal(attempts[0]?.outcome, CallerOutcome.Cancelled)
  })

  it('asks any instance after a job that it submitted, and deletes it when it gives up', async () => {
    const seen: string[] = []
    const handler: Handler = (req, _body, res) => {
      seen.push(`${req.method ?? ''} ${req.url ?? ''}`)
      if (req.method === 'POST') writeReply(res, { status: 202, body: { jobId: 'i1.1.1' } })
      if (req.method === 'DELETE') writeReply(res, { status: 200, body: { state: 'cancelled' } })
    }
    const style = SubmitStyle.Ask
    const { attempts } = await play([handler, handler], { style }, { cancelAfterMs: 20 })
    const path = '/v1/jobs/i1.1.1'
    assert.deepEqual(seen, ['POST /v1/jobs', `GET ${path}?wait=true`, `DELETE ${path}`])
    assert.equal(attempts[0]?.outcome, CallerOutcome.Cancelled)
  })

  it('keeps asking after a job when the connection breaks', async () => {
    const taken: Handler = (_req, _body, res) => {
      writeReply(res, { status: 202, body: { jobId: 'i1.1.1' } })
    }
    const handler = firstThen(taken, firstThen(breakOff, answerWhole))
    const { attempts } = await play([handler], { style: SubmitStyle.Ask })
    assert.equal(attempts[0]?.outcome, CallerOutcome.Answered)
  })

  const resubmissions: [string, Handler, Partial<JobRequest>, number][] = [
    ['a keyed job that was lost', breakOff, {}, 2],
    ['an idempotent job that was lost', breakOff, { key: '', idempotent: true }, 2],
    ['a refusal that says when to come back', problem(429, 'no', 0.01), {}, 2],
    ['no refusal for good', problem(422, 'no'), {}, 1],
    ['no job without a key that may have run', breakOff, { key: '' }, 1],
    ['no failed job', problem(502, 'unknown'), {}, 1],
  ]
  for (const [name, first, change, count] of resubmissions) {
    it(`submits again: ${name}`, async () => {
      const resubmit = new PatientResubmit({ firstWaitMs: 1 })
      const { attempts } = await play([firstThen(first, answerWhole)], { resubmit }, change)
      assert.equal(attempts.length, count)
    })
  }
})
