import { Ok } from '@cherryhitch/model'
import { Effect, Fiber } from 'effect'
import type { Result } from 'ts-results'
import type { RunResult } from '../endpointResults'
import { RunResultKind } from '../endpointResults'
import type { OwnerAction, RunTaskAction } from '../OwnerAction'
import { OwnerActionKind } from '../OwnerAction'
import type { OwnerEvent } from '../OwnerEvent'
import { OwnerEventKind } from '../OwnerEvent'
import { EndpointConnections } from './EndpointConnections'
import type { HttpReply } from '@cherryhitch/http-client'
import { exchange } from '@cherryhitch/http-client'
import { readLeasesReply, readStopsReply } from './readControlReplies'
import { readRunFailure, readRunReply } from './readRunReply'
import { runTaskBody } from './runTaskBody'

/** Limits of the requests to endpoints. @public */
export interface EndpointClientOptions {
  readonly connectTimeoutMs: number
  /** For each attempt of a stop, lease renewal or probe. */
  readonly controlTimeoutMs: number
  /** Maximum size of an endpoint's answer, in bytes. */
  readonly maxOutputBytes: number
  /** Bearer token for endpoints that require authentication. */
  readonly token: string | undefined
}

/** @public */
export const defaultEndpointClientOptions: EndpointClientOptions = {
  connectTimeoutMs: 500,
  controlTimeoutMs: 800,
  maxOutputBytes: 4_000_000,
  token: undefined,
}

/** Totals of the client. @public */
export interface EndpointClientCounters {
  requests: number
  controlRequests: number
  controlRetries: number
  /** Answers that name a task other than the requested one. */
  foreignAnswers: number
}

/** The owner's actions that concern endpoints. @internal */
export type EndpointAction = Extract<
  OwnerAction,
  {
    kind:
      | OwnerActionKind.RunTask
      | OwnerActionKind.StopTasks
      | OwnerActionKind.RenewLeases
      | OwnerActionKind.Probe
      | OwnerActionKind.DropRun
      | OwnerActionKind.CloseIdle
  }
>

interface ControlRequest<T> {
  readonly endpoint: string
  readonly address: string
  readonly method: string
  readonly path: string
  readonly body: string
  readonly read: (reply: HttpReply) => Result<T, string>
}

/** By then the owner has already ended the task at its deadline; the timeout only cleans up. */
const RUN_TIMEOUT_MARGIN_MS = 10_000
const PROBE_PATH = '/v1/health'
/** Connection pools of endpoints without requests for this long are closed. */
const UNUSED_POOL_RETENTION_MS = 60_000

/**
 * Performs the owner's actions at endpoints, one fiber per request, and emits results as events.
 *
 * @public
 */
export class EndpointClient {
  readonly counters: EndpointClientCounters = {
    requests: 0,
    controlRequests: 0,
    controlRetries: 0,
    foreignAnswers: 0,
  }
  private readonly pools = new Map<string, { pool: EndpointConnections; usedAt: number }>()
  private readonly runFibers = new Map<number, Fiber.Fiber<void>>()
  private readonly options: EndpointClientOptions
  private readonly headers: Record<string, string> = { 'content-type': 'application/json' }
  private closed = false

  constructor(
    private readonly emit: (event: OwnerEvent) => void,
    options: Partial<EndpointClientOptions> = {},
  ) {
    this.options = { ...defaultEndpointClientOptions, ...options }
    const { token } = this.options
    if (token !== undefined) this.headers.authorization = `Bearer ${token}`
  }

  perform(action: EndpointAction): void {
    if (this.closed) return
    switch (action.kind) {
      case OwnerActionKind.RunTask:
        this.run(action)
        return
      case OwnerActionKind.StopTasks:
        this.stop(action.endpoint, action.address, action.taskIds)
        return
      case OwnerActionKind.RenewLeases:
        this.renew(action.endpoint, action.address, action.taskIds, action.leaseMs)
        return
      case OwnerActionKind.Probe:
        this.probe(action.endpoint, action.address)
        return
      case OwnerActionKind.DropRun:
        this.dropRun(action.run)
        return
      case OwnerActionKind.CloseIdle:
        this.pools.get(action.endpoint)?.pool.closeIdle()
    }
  }

  /** Open connections to an endpoint, idle ones included. */
  openConnections(endpoint: string): number {
    return this.pools.get(endpoint)?.pool.open ?? 0
  }

  close(): void {
    this.closed = true
    for (const run of [...this.runFibers.keys()]) this.dropRun(run)
    for (const { pool } of this.pools.values()) pool.close()
    this.pools.clear()
  }

  private run(action: RunTaskAction): void {
    this.counters.requests++
    const pool = this.poolFor(action.endpoint)
    pool.setLimit(action.maxConnections)
    const headers = { ...this.headers }
    if (action.traceparent !== '') headers.traceparent = action.traceparent
    const request = exchange({
      method: 'PUT',
      address: action.address,
      path: `/v1/tasks/${encodeURIComponent(action.taskId)}`,
      headers,
      body: runTaskBody(action),
      // What joins a task does so because its connection failed.
      agent: pool.run,
      connectTimeoutMs: this.options.connectTimeoutMs,
      answerTimeoutMs: action.deadlineInMs + RUN_TIMEOUT_MARGIN_MS,
      maxAnswerBytes: this.options.maxOutputBytes,
    })
    const result = Effect.match(request, {
      onSuccess: (reply) => this.readRun(action.taskId, reply),
      onFailure: readRunFailure,
    })
    const emitted = Effect.map(result, (value) => {
      this.emitRunEnded(action, value)
    })
    const dropped = Effect.sync(() => {
      this.emitRunEnded(action, lostResult('The request was dropped.'))
    })
    this.runFibers.set(action.run, Effect.runFork(Effect.onInterrupt(emitted, () => dropped)))
  }

  private readRun(taskId: string, reply: HttpReply): RunResult {
    const read = readRunReply(taskId, reply)
    if (!read.foreign) return read.result
    this.counters.foreignAnswers++
    return lostResult('The answer belonged to another task.')
  }

  private dropRun(run: number): void {
    const fiber = this.runFibers.get(run)
    if (fiber !== undefined) Effect.runFork(Fiber.interrupt(fiber))
  }

  private emitRunEnded(action: RunTaskAction, result: RunResult): void {
    this.runFibers.delete(action.run)
    const { endpoint, taskId, run } = action
    this.emit({ kind: OwnerEventKind.RunEnded, endpoint, taskId, run, result })
  }

  private stop(endpoint: string, address: string, taskIds: readonly string[]): void {
    const body = JSON.stringify({ taskIds })
    const request = {
      endpoint,
      address,
      method: 'POST',
      path: '/v1/stops',
      body,
      read: readStopsReply,
    }
    this.sendControl(request, true, (reply) => {
      const requested = new Set(taskIds)
      const results = reply?.results.filter((result) => requested.has(result.taskId)) ?? []
      this.countForeign((reply?.results.length ?? 0) - results.length)
      this.emit({ kind: OwnerEventKind.StopEnded, endpoint, results, boot: reply?.boot })
    })
  }

  private renew(
    endpoint: string,
    address: string,
    taskIds: readonly string[],
    leaseMs: number,
  ): void {
    const body = JSON.stringify({ leaseMs, taskIds })
    const request = {
      endpoint,
      address,
      method: 'POST',
      path: '/v1/leases',
      body,
      read: readLeasesReply,
    }
    this.sendControl(request, true, (reply) => {
      const requested = new Set(taskIds)
      const knownTaskIds = reply?.running.filter((taskId) => requested.has(taskId))
      const boot = reply?.boot
      this.emit({
        kind: OwnerEventKind.LeasesRenewed,
        endpoint,
        taskIds,
        knownTaskIds,
        boot,
      })
    })
  }

  /** Probes on a new connection; an answer of any status shows that the endpoint is alive. */
  private probe(endpoint: string, address: string): void {
    const read = (): Result<true, string> => Ok(true)
    const request = { endpoint, address, method: 'GET', path: PROBE_PATH, body: '', read }
    this.sendControl(request, false, (reply) => {
      this.emit({ kind: OwnerEventKind.ProbeEnded, endpoint, alive: reply !== undefined })
    })
  }

  private sendControl<T>(
    request: ControlRequest<T>,
    tryPersistent: boolean,
    done: (reply: T | undefined) => void,
  ): void {
    this.counters.controlRequests++
    const onNewConnection = this.attemptControl(request, false)
    const retried = Effect.suspend(() => {
      this.counters.controlRetries++
      return onNewConnection
    })
    const reply = tryPersistent
      ? Effect.catch(this.attemptControl(request, true), () => retried)
      : onNewConnection
    const completed = Effect.match(reply, {
      onSuccess: (value) => {
        if (!this.closed) done(value)
      },
      onFailure: () => {
        if (!this.closed) done(undefined)
      },
    })
    Effect.runFork(completed)
  }

  private attemptControl<T>(
    request: ControlRequest<T>,
    persistent: boolean,
  ): Effect.Effect<T, string> {
    const pool = this.poolFor(request.endpoint)
    const answer = exchange({
      method: request.method,
      address: request.address,
      path: request.path,
      headers: this.headers,
      body: request.body,
      agent: persistent ? pool.control : pool.fresh,
      connectTimeoutMs: this.options.connectTimeoutMs,
      answerTimeoutMs: this.options.controlTimeoutMs,
      maxAnswerBytes: this.options.maxOutputBytes,
    })
    const reply = Effect.mapError(answer, (failure) => failure.detail)
    return Effect.flatMap(reply, (value) => {
      const read = request.read(value)
      return read.ok ? Effect.succeed(read.val) : Effect.fail(read.val)
    })
  }

  private countForeign(count: number): void {
    this.counters.foreignAnswers += count
  }

  private poolFor(endpoint: string): EndpointConnections {
    const now = Date.now()
    const known = this.pools.get(endpoint)
    if (known !== undefined) {
      known.usedAt = now
      return known.pool
    }
    this.closeUnusedPools(now)
    const pool = new EndpointConnections(Infinity)
    this.pools.set(endpoint, { pool, usedAt: now })
    return pool
  }

  private closeUnusedPools(now: number): void {
    for (const [endpoint, { pool, usedAt }] of this.pools) {
      if (now - usedAt < UNUSED_POOL_RETENTION_MS || pool.open > 0) continue
      pool.close()
      this.pools.delete(endpoint)
    }
  }
}

function lostResult(detail: string): RunResult {
  return { kind: RunResultKind.Lost, output: '', detail, runMs: 0, answered: false }
}
