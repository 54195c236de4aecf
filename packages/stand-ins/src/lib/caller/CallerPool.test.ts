import assert from 'node:assert/strict'
import { once } from 'node:events'
import http from 'node:http'
import type { AddressInfo } from 'node:net'
import { describe, it } from 'node:test'
import { Effect } from 'effect'
import type { Scope } from 'effect'
import { startStandInEndpoint } from '../endpoint/StandInEndpoint'
import { requestJson } from '../http/requestJson'
import type { JsonResponse } from '../http/requestJson'
import { readJsonBody, writeReply } from '../http/serverReplies'
import { CallerLedger } from '../ledger/CallerLedger'
import { EndpointLedger } from '../ledger/EndpointLedger'
import type { InvariantReport } from '../ledger/checkLedgers'
import { Invariant, checkLedgers } from '../ledger/checkLedgers'
import { WorkloadGenerator } from '../workload/WorkloadGenerator'
import { startBalancer } from './Balancer'
import { callerPool } from './CallerPool'

interface JobBody {
  readonly tasks: readonly { readonly service: string; readonly payload: unknown }[]
}

type RunTask = (taskId: string, task: JobBody['tasks'][number]) => Promise<JsonResponse>
type Dispatch = (jobId: string, body: JobBody, run: RunTask) => Promise<unknown>

async function runAll(jobId: string, { tasks }: JobBody, run: RunTask): Promise<unknown[]> {
  const responses = await Promise.all(tasks.map((task, index) => run(`${jobId}.${index}`, task)))
  return responses.map(({ body }) => (body as { output: unknown }).output)
}

const honest: Dispatch = async (jobId, body, run) => ({ outputs: await runAll(jobId, body, run) })

/** The smallest of dispatchers: one instance in front of one endpoint. */
async function startDispatcher(dispatch: Dispatch, run: RunTask): Promise<http.Server> {
  let sequence = 0
  const server = http.createServer((req, res) => {
    readJsonBody(req, (body) => {
      if (req.url === '/readyz') writeReply(res, { status: 200, body: {} })
      else void answer(body as JobBody, res)
    })
  })
  async function answer(body: JobBody, res: http.ServerResponse): Promise<void> {
    const jobId = `i1.1.${sequence++}`
    const reply = { jobId, ...((await dispatch(jobId, body, run)) as object) }
    writeReply(res, { status: 'outputs' in reply ? 200 : 500, body: reply })
  }
  await once(server.listen(0, '127.0.0.1'), 'listening')
  return server
}

async function playAgainst(dispatch: Dispatch): Promise<InvariantReport> {
  const endpoints = new EndpointLedger()
  const callers = new CallerLedger()
  const agent = new http.Agent({ keepAlive: true })
  const program: Effect.Effect<void, Error, Scope.Scope> = Effect.gen(function* () {
    const place = { endpoint: 'e1', service: 'trace', zone: 'z1', rack: 'r1', slots: 500 }
    const { address } = yield* startStandInEndpoint({
      ...place,
      connections: 500,
      ledger: endpoints,
    })
    const run: RunTask = (taskId, { service, payload }) => {
      const body = { service, payload, leaseMs: 5000, deadlineInMs: 5000 }
      const path = `/v1/tasks/${taskId}`
      const request = { method: 'PUT', address, path, body, timeoutMs: 5000, agent }
      return Effect.runPromise(requestJson(request))
    }
    const server = yield* Effect.promise(() => startDispatcher(dispatch, run))
    const instance = `127.0.0.1:${(server.address() as AddressInfo).port}`
    const balancer = yield* startBalancer({ instances: [instance] })
    const pool = yield* callerPool({ balancer, ledger: callers })
    const generator = new WorkloadGenerator({
      runId: 'r1',
      slots: 40,
      durationMs: 200,
      runTimes: [{ weight: 1, min: 1, max: 20 }],
      sizes: [{ weight: 1, min: 1, max: 5 }],
    })
    yield* pool.play(generator.generate())
    server.close()
    server.closeAllConnections()
  })
  await Effect.runPromise(Effect.scoped(program))
  agent.destroy()
  return checkLedgers(endpoints, callers)
}

describe('callers, endpoints and the check together', () => {
  it('hold every promise under an honest dispatcher', async () => {
    const report = await playAgainst(honest)
    assert.deepEqual(report.violations, [])
    assert.ok(report.checked.attempts > 20 && report.checked.runs >= report.checked.attempts)
  })

  const lies: [Invariant, Dispatch][] = [
    [
      Invariant.RunBehindNotRun,
      async (jobId, body, run) => {
        await runAll(jobId, body, run)
        return { ran: 'no' }
      },
    ],
    [
      Invariant.DoubleRun,
      async (jobId, body, run) => {
        await runAll(`x${jobId}`, body, run)
        return honest(jobId, body, run)
      },
    ],
    [
      Invariant.PartialAnswer,
      async (jobId, body, run) => ({ outputs: (await runAll(jobId, body, run)).slice(1) }),
    ],
    [
      Invariant.ForeignAnswer,
      async (jobId, body, run) => ({ outputs: await runAll(`x${jobId}`, body, run) }),
    ],
  ]
  for (const [invariant, dispatch] of lies) {
    it(`show a dispatcher that breaks ${invariant}`, async () => {
      const { counts } = await playAgainst(dispatch)
      assert.ok(counts[invariant] > 0)
    })
  }
})
