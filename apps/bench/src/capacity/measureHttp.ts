import { performance } from 'node:perf_hooks'
import { Worker } from 'node:worker_threads'
import { create } from '@bufbuild/protobuf'
import {
  AccessRole,
  createAuthenticator,
  EndpointService,
  JobService,
  startCallerServer,
  startEndpointServer,
} from '@cherryhitch/http-api'
import type { HeartbeatReply, HttpServer, HttpServerError } from '@cherryhitch/http-api'
import type { RunTaskAction } from '@cherryhitch/owner'
import { EndpointClient, OwnerActionKind, OwnerEventKind, RunResultKind } from '@cherryhitch/owner'
import { JobAnswerSchema, JobState, Outcome } from '@cherryhitch/protocol'
import type { JobAnswer } from '@cherryhitch/protocol'
import { Effect, Exit, Scope } from 'effect'
import { head, median, REPETITIONS, row } from './measuring'
import { makeJobId } from './samples'

const HOST = '127.0.0.1'
const IN_FLIGHT = 32
const OUTPUT = `"${'y'.repeat(200)}"`
const PAYLOAD = 'x'.repeat(200)
const US_PER_MS = 1000

/** A client in a thread of its own, so that the main thread's busy time is the server's. */
const CLIENT_THREAD = `
const http = require('node:http')
const { parentPort, workerData } = require('node:worker_threads')
const { port, path, body, requests, inFlight } = workerData
const agent = new http.Agent({ keepAlive: true, maxSockets: inFlight })
const headers = { 'Cherryhitch-Caller': 'desk', 'Content-Type': 'application/json',
  'Content-Length': Buffer.byteLength(body) }
let left = requests
let failed = 0
const post = () => new Promise((resolve) => {
  const req = http.request({ port, agent, method: 'POST', path, headers }, (res) => {
    if (res.statusCode !== 200) failed += 1
    res.resume()
    res.on('end', resolve)
  })
  req.on('error', () => { failed += 1; resolve() })
  req.end(body)
})
const client = async () => { while (left-- > 0) await post() }
Promise.all(Array.from({ length: inFlight }, client)).then(() => {
  agent.destroy()
  parentPort.postMessage(failed)
})`

/** An endpoint in a thread of its own that answers each task at once. */
const ENDPOINT_THREAD = `
const http = require('node:http')
const { parentPort, workerData } = require('node:worker_threads')
const answer = JSON.stringify({ output: workerData.output, runMs: 1 })
const server = http.createServer((req, res) => {
  req.resume()
  req.on('end', () => {
    res.writeHead(200, { 'content-type': 'application/json', 'content-length': answer.length })
    res.end(answer)
  })
})
server.listen(0, '127.0.0.1', () => parentPort.postMessage(server.address().port))`

class InstantJobs extends JobService {
  constructor(private readonly answer: JobAnswer) {
    super()
  }

  override submit(): Effect.Effect<JobAnswer> {
    return Effect.succeed(this.answer)
  }

  override query(): Effect.Effect<undefined> {
    return Effect.succeed(undefined)
  }
}

class InstantHeartbeats extends EndpointService {
  override heartbeat(): Effect.Effect<HeartbeatReply> {
    const owner = { owner: 'ishikari-1-a17', ownerAddress: '10.0.0.1:7002' }
    return Effect.succeed({ ...owner, nextHeartbeatMs: 500 })
  }
}

function answerOf(tasks: number): JobAnswer {
  const ended = { state: JobState.SUCCEEDED, outcome: Outcome.SUCCEEDED, tasks, tasksEnded: tasks }
  const outputs = Array.from({ length: tasks }, () => OUTPUT)
  return create(JobAnswerSchema, { jobId: makeJobId(1), ...ended, outputs })
}

function jobBody(tasks: number): string {
  const task = { service: 'tracing-0', payload: PAYLOAD, cores: 1 }
  return JSON.stringify({
    idempotent: true,
    deadlineMs: 2000,
    tasks: Array.from({ length: tasks }, () => task),
  })
}

function heartbeatBody(running: number): string {
  const ids = Array.from({ length: running }, (_, n) => `${makeJobId(n)}.${n}`)
  return JSON.stringify({
    service: 'tracing-0',
    zone: 'ishikari-1',
    rack: 'rack-7',
    address: '10.0.7.11:9000',
    slots: 24,
    connections: 64,
    capacity: { cores: 32, memoryMb: 64_000, accelerators: 2 },
    boot: 1_764_700_000_000,
    runningTaskIds: ids,
    state: 'serving',
    usage: { cores: 12.5, memoryMb: 20_123.5 },
  })
}

/** Busy microseconds of this thread for each request that a client thread sends. */
async function busyPerRequest(plan: {
  port: number
  path: string
  body: string
  requests: number
}): Promise<number> {
  const before = performance.eventLoopUtilization()
  const worker = new Worker(CLIENT_THREAD, {
    workerData: { ...plan, inFlight: IN_FLIGHT },
    eval: true,
  })
  const failed = await new Promise<number>((resolve, reject) => {
    worker.once('message', resolve)
    worker.once('error', reject)
  })
  if (failed > 0) throw new Error(`${failed} requests failed`)
  const { active } = performance.eventLoopUtilization(before)
  return (active / plan.requests) * US_PER_MS
}

const serverOptions = {
  host: HOST,
  port: 0,
  log: console.log,
  health: { isAlive: () => true, isReady: () => true },
}

async function measureServer(
  start: Effect.Effect<HttpServer, HttpServerError, Scope.Scope>,
  plan: { path: string; body: string; requests: number },
): Promise<number> {
  const scope = await Effect.runPromise(Scope.make())
  const { port } = await Effect.runPromise(Scope.provide(scope)(start))
  await busyPerRequest({ ...plan, port })
  const all: number[] = []
  for (let n = 0; n < REPETITIONS; n++) all.push(await busyPerRequest({ ...plan, port }))
  await Effect.runPromise(Scope.close(scope, Exit.void))
  return median(all)
}

async function measureJobs(): Promise<void> {
  const columns = ['tasks a job', 'µs a job', 'µs a task', 'bytes in', 'bytes out']
  head('HTTP: POST /v1/jobs, the server alone, 32 at once', ...columns)
  for (const tasks of [1, 8, 30, 120]) {
    const auth = createAuthenticator(AccessRole.Caller, [])
    const jobs = new InstantJobs(answerOf(tasks))
    const body = jobBody(tasks)
    const requests = Math.max(500, Math.round(5000 / tasks))
    const start = startCallerServer({ ...serverOptions, auth, jobs })
    const us = await measureServer(start, { path: '/v1/jobs', body, requests })
    row(tasks, us, us / tasks, body.length, tasks * (OUTPUT.length + 1))
  }
}

async function measureHeartbeats(): Promise<void> {
  head('HTTP: heartbeat of an endpoint, the server alone', 'running tasks', 'µs', 'bytes of body')
  for (const running of [0, 8, 22]) {
    const auth = createAuthenticator(AccessRole.Endpoint, [])
    const endpoints = new InstantHeartbeats()
    const body = heartbeatBody(running)
    const path = '/v1/endpoints/tracing-worker-17/heartbeat'
    const start = startEndpointServer({ ...serverOptions, auth, endpoints })
    row(running, await measureServer(start, { path, body, requests: 4000 }), body.length)
  }
}

function makeRun(run: number, port: number, payload: string): RunTaskAction {
  return {
    kind: OwnerActionKind.RunTask,
    endpoint: 'tracing-worker-17',
    address: `${HOST}:${port}`,
    maxConnections: IN_FLIGHT,
    taskId: `${makeJobId(run)}.0`,
    run,
    endpointBoot: 1,
    service: 'tracing-0',
    payload,
    resources: undefined,
    leaseMs: 3000,
    deadlineInMs: 30_000,
    traceparent: '',
    join: false,
  }
}

/** Busy microseconds of this thread for each task that the client has an endpoint run. */
async function busyPerTask(port: number, payload: string, tasks: number): Promise<number> {
  const before = performance.eventLoopUtilization()
  await new Promise<void>((resolve, reject) => {
    let started = 0
    let ended = 0
    const next = (): void => {
      if (started < tasks) client.perform(makeRun(++started, port, payload))
    }
    const client = new EndpointClient((event) => {
      if (event.kind === OwnerEventKind.RunEnded && event.result.kind !== RunResultKind.Succeeded) {
        reject(new Error(`a task failed: ${event.result.detail}`))
      }
      if (++ended < tasks) next()
      else {
        client.close()
        resolve()
      }
    })
    for (let n = 0; n < IN_FLIGHT; n++) next()
  })
  const { active } = performance.eventLoopUtilization(before)
  return (active / tasks) * US_PER_MS
}

async function measureDispatch(): Promise<void> {
  head('HTTP: PUT /v1/tasks/{id}, the client alone, 32 at once', 'payload bytes', 'µs a task')
  const endpoint = new Worker(ENDPOINT_THREAD, {
    workerData: { output: 'y'.repeat(200) },
    eval: true,
  })
  const port = await new Promise<number>((resolve) => endpoint.once('message', resolve))
  for (const size of [200, 2000, 20_000]) {
    const payload = `"${'x'.repeat(size)}"`
    await busyPerTask(port, payload, 3000)
    const all: number[] = []
    for (let n = 0; n < REPETITIONS; n++) all.push(await busyPerTask(port, payload, 5000))
    row(size, median(all))
  }
  await endpoint.terminate()
}

/** Prints what the HTTP interfaces cost an instance. */
export async function measureHttp(): Promise<void> {
  await measureJobs()
  await measureHeartbeats()
  await measureDispatch()
}
