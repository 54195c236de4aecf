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
  /** For stops, leases and probes, each try. */
  readonly controlTimeoutMs: number
  /** Longest output of a task, in bytes. */
  readonly maxOutputBytes: number
  /** Bearer token that guarded endpoints ask for. */
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
  /** Answers that name another task than the one asked for. */
  foreignAnswers: number
}

/** What an owner asks of endpoints. @internal */
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

/** Beyond the deadline the owner has ended the task by itself; the request is only cleaned up. */
const AFTER_DEADLINE_MS = 10_000
const PROBE_PATH = '/v1/health'
/** Connections of an endpoint that nothing was asked of for this long are forgotten. */
const FORGET_AFTER_MS = 60_000

/**
 * Carries out what the owner decides, with one fiber for each request, and answers with events.
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
  private readonly endpoints = new Map<string, { pool: EndpointConnections; usedAt: number }>()
  private readonly runs = new Map<number, Fiber.Fiber<void>>()
  private readonly options: EndpointClientOptions
  private readonly headers: Record<string, string> = { 'content-type': 'application/json' }
  private closed = false

  constructor(
    private readonly tell: (event: OwnerEvent) => void,
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
        this.drop(action.run)
        return
      case OwnerActionKind.CloseIdle:
        this.endpoints.get(action.endpoint)?.pool.closeIdle()
    }
  }

  /** Open connections to an endpoint, idle ones included. */
  openConnections(endpoint: string): number {
    return this.endpoints.get(endpoint)?.pool.open ?? 0
  }

  close(): void {
    this.closed = true
    for (const run of [...this.runs.keys()]) this.drop(run)
    for (const { pool } of this.endpoints.values()) pool.close()
    this.endpoints.clear()
  }

  private run(action: RunTaskAction): void {
    this.counters.requests++
    const pool = this.pool(action.endpoint)
    pool.setShare(action.maxConnections)
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
      answerTimeoutMs: action.deadlineInMs + AFTER_DEADLINE_MS,
      maxAnswerBytes: this.options.maxOutputBytes,
    })
    const ended = Effect.match(request, {
      onSuccess: (reply) => this.readRun(action.taskId, reply),
      onFailure: readRunFailure,
    })
    const told = Effect.map(ended, (result) => {
      this.runEnded(action, result)
    })
    const dropped = Effect.sync(() => {
      this.runEnded(action, lostResult('It was given up.'))
    })
    this.runs.set(action.run, Effect.runFork(Effect.onInterrupt(told, () => dropped)))
  }

  private readRun(taskId: string, reply: HttpReply): RunResult {
    const read = readRunReply(taskId, reply)
    if (!read.foreign) return read.result
    this.counters.foreignAnswers++
    return lostResult('The answer belonged to another task.')
  }

  private drop(run: number): void {
    const fiber = this.runs.get(run)
    if (fiber !== undefined) Effect.runFork(Fiber.interrupt(fiber))
  }

  private runEnded(action: RunTaskAction, result: RunResult): void {
    this.runs.delete(action.run)
    const { endpoint, taskId, run } = action
    this.tell({ kind: OwnerEventKind.RunEnded, endpoint, taskId, run, result })
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
    this.control(request, true, (reply) => {
      const asked = new Set(taskIds)
      const results = reply?.results.filter((result) => asked.has(result.taskId)) ?? []
      this.countForeign((reply?.results.length ?? 0) - results.length)
      this.tell({ kind: OwnerEventKind.StopEnded, endpoint, results, boot: reply?.boot })
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
    this.control(request, true, (reply) => {
      const asked = new Set(taskIds)
      const known = reply?.running.filter((taskId) => asked.has(taskId))
      const boot = reply?.boot
      this.tell({ kind: OwnerEventKind.LeasesRenewed, endpoint, asked: taskIds, known, boot })
    })
  }

  /** On a new connection; whatever is answered, the endpoint is alive. */
  private probe(endpoint: string, address: string): void {
    const read = (): Result<true, string> => Ok(true)
    const request = { endpoint, address, method: 'GET', path: PROBE_PATH, body: '', read }
    this.control(request, false, (reply) => {
      this.tell({ kind: OwnerEventKind.ProbeEnded, endpoint, alive: reply !== undefined })
    })
  }

  private control<T>(
    request: ControlRequest<T>,
    keptFirst: boolean,
    done: (reply: T | undefined) => void,
  ): void {
    this.counters.controlRequests++
    const onNew = this.ask(request, false)
    const retried = Effect.suspend(() => {
      this.counters.controlRetries++
      return onNew
    })
    const asked = keptFirst ? Effect.catch(this.ask(request, true), () => retried) : onNew
    const told = Effect.match(asked, {
      onSuccess: (reply) => {
        if (!this.closed) done(reply)
      },
      onFailure: () => {
        if (!this.closed) done(undefined)
      },
    })
    Effect.runFork(told)
  }

  private ask<T>(request: ControlRequest<T>, kept: boolean): Effect.Effect<T, string> {
    const pool = this.pool(request.endpoint)
    const answer = exchange({
      method: request.method,
      address: request.address,
      path: request.path,
      headers: this.headers,
      body: request.body,
      agent: kept ? pool.control : pool.fresh,
      connectTimeoutMs: this.options.connectTimeoutMs,
      answerTimeoutMs: this.options.controlTimeoutMs,
      maxAnswerBytes: this.options.maxOutputBytes,
    })
    const failed = Effect.mapError(answer, (failure) => failure.detail)
    return Effect.flatMap(failed, (reply) => {
      const read = request.read(reply)
      return read.ok ? Effect.succeed(read.val) : Effect.fail(read.val)
    })
  }

  private countForeign(count: number): void {
    this.counters.foreignAnswers += count
  }

  private pool(endpoint: string): EndpointConnections {
    const now = Date.now()
    const known = this.endpoints.get(endpoint)
    if (known !== undefined) {
      known.usedAt = now
      return known.pool
    }
    this.forgetUnused(now)
    const pool = new EndpointConnections(Infinity)
    this.endpoints.set(endpoint, { pool, usedAt: now })
    return pool
  }

  private forgetUnused(now: number): void {
    for (const [endpoint, { pool, usedAt }] of this.endpoints) {
      if (now - usedAt < FORGET_AFTER_MS || pool.open > 0) continue
      pool.close()
      this.endpoints.delete(endpoint)
    }
  }
}

function lostResult(detail: string): RunResult {
  return { kind: RunResultKind.Lost, output: '', detail, runMs: 0, answered: false }
}
