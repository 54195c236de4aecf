/**
 * Measures what the stand-ins themselves cost and how exact they are; the design note quotes it.
 * Run with `npx tsx packages/stand-ins/src/lib/measure/measureStandIns.ts`.
 */
import http from 'node:http'
import { performance } from 'node:perf_hooks'
import { Effect } from 'effect'
import type { Scope } from 'effect'
import { deployments, placeEndpoints, totalSlots } from '../deployment/Deployment'
import { startStandInEndpoint } from '../endpoint/StandInEndpoint'
import { requestJson } from '../http/requestJson'
import type { HttpFailure } from '../http/requestJson'
import type { IdealOrder } from '../ideal/IdealOrder'
import { ArrivalOrder, LeastWorkOrder } from '../ideal/IdealOrder'
import { idealSchedule } from '../ideal/idealSchedule'
import { EndpointLedger } from '../ledger/EndpointLedger'
import { startFaultyLink } from '../link/FaultyLink'
import type { ListenError } from '../util/ListenError'
import { WorkloadGenerator } from '../workload/WorkloadGenerator'

const deployment = deployments.kitaura
const ROUND_TRIPS = 300
const LOAD_MS = 4000
const CALLS_AT_ONCE = 64

type Measured = Effect.Effect<void, ListenError | HttpFailure, Scope.Scope>

function quantile(values: readonly number[], share: number): number {
  const sorted = [...values].sort((a, b) => a - b)
  return sorted[Math.floor(share * (sorted.length - 1))] ?? NaN
}

function mean(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / values.length
}

function print(line: string): void {
  process.stdout.write(`measure: ${line}\n`)
}

const place = { service: deployment.service, zone: 'z1', rack: 'r1' }

/** Round trips of a health question, straight and through links of several delays. */
function measureLinks(agent: http.Agent): Measured {
  return Effect.gen(function* () {
    const ledger = new EndpointLedger()
    const endpoint = yield* startStandInEndpoint({ endpoint: 'e1', ledger, ...place })
    const ways = [{ name: 'straight', address: endpoint.address }]
    for (const delayMs of [0, 1, 1.5, 3]) {
      const link = yield* startFaultyLink({ target: endpoint.address, delayMs })
      ways.push({ name: `link of ${delayMs} ms one way`, address: link.address })
    }
    for (const { name, address } of ways) {
      const times: number[] = []
      for (let i = 0; i < ROUND_TRIPS; i++) {
        const startedAt = performance.now()
        const request = { method: 'GET', address, path: '/v1/health', timeoutMs: 5000, agent }
        yield* requestJson(request)
        times.push(performance.now() - startedAt)
      }
      const p50 = quantile(times, 0.5).toFixed(2)
      print(`${name}: round trip mean ${mean(times).toFixed(2)} ms, p50 ${p50} ms`)
    }
  })
}

/** Tasks without run time through all endpoints, both ends in this process. */
function measureEndpoints(agent: http.Agent): Measured {
  return Effect.gen(function* () {
    const ledger = new EndpointLedger()
    const addresses: string[] = []
    for (const placed of placeEndpoints(deployment)) {
      const endpoint = yield* startStandInEndpoint({ ...placed, service: place.service, ledger })
      addresses.push(endpoint.address)
    }
    let sequence = 0
    const endAt = performance.now() + LOAD_MS
    const worker = (address: string): Effect.Effect<void, HttpFailure> =>
      Effect.gen(function* () {
        while (performance.now() < endAt) {
          const taskId = `m.1.${(sequence++).toString(36)}.0`
          const payload = { runMs: 1, token: taskId }
          const body = { service: place.service, payload, leaseMs: 5000, deadlineInMs: 5000 }
          const path = `/v1/tasks/${taskId}`
          yield* requestJson({ method: 'PUT', address, path, body, timeoutMs: 5000, agent })
        }
      })
    const cpuBefore = process.cpuUsage()
    const workers = Array.from({ length: CALLS_AT_ONCE }, (_, index) =>
      worker(addresses[index % addresses.length] ?? ''),
    )
    yield* Effect.all(workers, { concurrency: 'unbounded', discard: true })
    const cpu = process.cpuUsage(cpuBefore)
    const perTask = (cpu.user + cpu.system) / ledger.runs.length
    const perSecond = (ledger.runs.length / LOAD_MS) * 1000
    print(`${perSecond.toFixed(0)} tasks/s, processor ${perTask.toFixed(0)} us a task, both ends`)
  })
}

/** The two orders of the ideal schedule on the same loads. */
function measureIdealOrders(): void {
  const slots = new Map([['trace', totalSlots(deployment)]])
  for (const busyShare of [0.5, 0.8, 0.95, 1.1]) {
    const options = { runId: 'm', slots: totalSlots(deployment), busyShare, durationMs: 120_000 }
    const jobs = new WorkloadGenerator(options).generate()
    const results = [new LeastWorkOrder(), new ArrivalOrder()].map((order: IdealOrder) => {
      const startedAt = performance.now()
      const times = idealSchedule(jobs, { slots, order })
      const took = performance.now() - startedAt
      const responses = times.map(({ scheduledMs }) => scheduledMs)
      const toLongest = times.map(({ scheduledMs, longestPathMs }) => scheduledMs / longestPathMs)
      const p99 = quantile(responses, 0.99).toFixed(0)
      const figures = `mean ${mean(responses).toFixed(0)} ms, p99 ${p99} ms`
      return `${order.constructor.name} ${figures}, ${mean(toLongest).toFixed(2)} times the longest path, took ${took.toFixed(0)} ms`
    })
    print(`${busyShare} of slots busy, ${jobs.length} jobs: ${results.join('; ')}`)
  }
}

const agent = new http.Agent({ keepAlive: true })
measureIdealOrders()
await Effect.runPromise(Effect.scoped(measureLinks(agent)))
await Effect.runPromise(Effect.scoped(measureEndpoints(agent)))
agent.destroy()
