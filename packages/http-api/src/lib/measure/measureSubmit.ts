/**
 * Benchmarks `POST /v1/jobs` with a service that answers immediately, against a plain Node server
 * that reads the same body and sends a response of similar size. The clients run in a separate
 * thread, so that the busy time of the main thread is that of the server only.
 *
 * Run: npx tsx packages/http-api/src/lib/measure/measureSubmit.ts [budget of a turn in ms]
 */
import http from 'node:http'
import type { AddressInfo } from 'node:net'
import { performance } from 'node:perf_hooks'
import { Worker, isMainThread, parentPort, workerData } from 'node:worker_threads'
import { Effect, Exit, Scope } from 'effect'
import { AccessRole } from '../auth/Authenticator'
import { createAuthenticator } from '../auth/createAuthenticator'
import { startCallerServer } from '../callers/startCallerServer'
import { FakeJobService, succeeded } from '../fixtures/FakeServices'
import { defaultHttpLimits } from '../server/HttpServerOptions'

interface LoadPlan {
  readonly port: number
  readonly connections: number
  readonly requests: number
  readonly body: string
}

interface LoadResult {
  readonly perSecond: number
  readonly p50: number
  readonly p99: number
  readonly failed: number
}

const REQUESTS = 40_000
const WARM_UP_REQUESTS = 10_000
const CONNECTIONS = [32, 200]
const TASKS = [1, 100]
const MICROS = 1000
const OK = 200

function jobBody(tasks: number): string {
  const payload = { policy: 'GJ-2291-0047', lodgedWith: null, note: 'x'.repeat(120) }
  const list = Array.from({ length: tasks }, () => ({ service: 'claims', payload, cores: 1 }))
  return JSON.stringify({ idempotent: true, deadlineMs: 2000, tasks: list })
}

/** Sends one request; resolves to whether the status was 200. */
function post(agent: http.Agent, { port, body }: LoadPlan): Promise<boolean> {
  return new Promise((resolve) => {
    const headers = {
      'Cherryhitch-Caller': 'desk',
      'Content-Type': 'application/json',
      'Content-Length': Buffer.byteLength(body),
    }
    const req = http.request({ port, agent, method: 'POST', path: '/v1/jobs', headers }, (res) => {
      res.resume()
      res.on('end', () => {
        resolve(res.statusCode === OK)
      })
    })
    req.on('error', () => {
      resolve(false)
    })
    req.end(body)
  })
}

async function generateLoad(plan: LoadPlan): Promise<LoadResult> {
  const agent = new http.Agent({ keepAlive: true, maxSockets: plan.connections })
  const times: number[] = []
  let left = plan.requests
  let failed = 0
  const client = async (): Promise<void> => {
    while (left-- > 0) {
      const startedAt = performance.now()
      if (!(await post(agent, plan))) failed += 1
      times.push(performance.now() - startedAt)
    }
  }
  const startedAt = performance.now()
  await Promise.all(Array.from({ length: plan.connections }, client))
  const perSecond = plan.requests / ((performance.now() - startedAt) / 1000)
  agent.destroy()
  times.sort((a, b) => a - b)
  const quantile = (share: number): number => times[Math.floor(times.length * share)] ?? 0
  return { perSecond, p50: quantile(0.5), p99: quantile(0.99), failed }
}

function runInThread(plan: LoadPlan): Promise<LoadResult> {
  // Worker threads do not inherit the TypeScript loader.
  const start = `import('tsx/esm/api').then((tsx) => { tsx.register(); return import('${import.meta.url}') })`
  const worker = new Worker(start, { workerData: plan, eval: true })
  return new Promise((resolve, reject) => {
    worker.once('message', resolve)
    worker.once('error', reject)
  })
}

async function report(name: string, plan: LoadPlan): Promise<void> {
  await runInThread({ ...plan, requests: WARM_UP_REQUESTS })
  const before = performance.eventLoopUtilization()
  const result = await runInThread(plan)
  const { active } = performance.eventLoopUtilization(before)
  const micros = (active / plan.requests) * MICROS
  console.log(
    `${name}, ${plan.connections} connections: ${result.perSecond.toFixed(0)}/s, ` +
      `p50 ${result.p50.toFixed(2)} ms, p99 ${result.p99.toFixed(2)} ms, ` +
      `${micros.toFixed(0)} µs of the server's thread each, ${result.failed} failed`,
  )
}

function startBareServer(answer: string): Promise<http.Server> {
  const server = http.createServer((req, res) => {
    const chunks: Buffer[] = []
    req.on('data', (chunk: Buffer) => chunks.push(chunk))
    req.on('end', () => {
      const headers = { 'Content-Type': 'application/json', 'Content-Length': answer.length }
      res.writeHead(OK, headers)
      res.end(answer)
    })
  })
  return new Promise((resolve) => {
    server.listen(0, '127.0.0.1', () => {
      resolve(server)
    })
  })
}

/** Budget of a turn in milliseconds; `Infinity` disables it for comparison. */
function readBudget(): number {
  const text = process.argv[2]
  return text === undefined ? defaultHttpLimits.turnBudgetMs : Number(text)
}

async function measureTasks(tasks: number): Promise<void> {
  const answer = succeeded(Array.from({ length: tasks }, () => '{"found":true}'))
  const jobs = new FakeJobService()
  jobs.answer = () => {
    jobs.submitted.length = 0
    return Effect.succeed(answer)
  }
  const scope = await Effect.runPromise(Scope.make())
  const started = startCallerServer({
    host: '127.0.0.1',
    port: 0,
    limits: { turnBudgetMs: readBudget() },
    log: console.log,
    jobs,
    auth: createAuthenticator(AccessRole.Caller, []),
    health: { isAlive: () => true, isReady: () => true },
  })
  const { port } = await Effect.runPromise(Scope.provide(scope)(started))
  const bare = await startBareServer('x'.repeat(150 + tasks * 15))
  const barePort = (bare.address() as AddressInfo).port
  const body = jobBody(tasks)
  for (const connections of CONNECTIONS) {
    const plan = { connections, requests: REQUESTS / Math.max(1, tasks / 10), body }
    await report(`bare node:http, ${tasks} tasks`, { ...plan, port: barePort })
    await report(`caller interface, ${tasks} tasks`, { ...plan, port })
  }
  bare.close()
  await Effect.runPromise(Scope.close(scope, Exit.void))
}

if (isMainThread) {
  for (const tasks of TASKS) await measureTasks(tasks)
} else {
  parentPort?.postMessage(await generateLoad(workerData as LoadPlan))
}
