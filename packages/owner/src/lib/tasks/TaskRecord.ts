import type { Traceparent } from '@cherryhitch/model'
import type { QueuedTask } from '@cherryhitch/policy'
import type { PlacedTask, Resources, TaskSpec } from '@cherryhitch/protocol'
import type { TaskResult } from '../outcomes/TaskResult'
import type { EndpointRecord } from '../endpoints/EndpointRecord'
import type { JobSpread } from './JobSpread'

/** The state of a task at its owner. @internal */
export enum TaskPhase {
  /** In the queue of its service. */
  Queued = 'queued',
  /** Provably not run; it returns to the queue after a retry delay. */
  Delayed = 'delayed',
  /** Dispatched; a request is open. */
  Running = 'running',
  /** The request broke; the endpoint is asked whether the task runs. */
  Checking = 'checking',
  /** The endpoint does not run the task and is asked to fence its id. */
  Fencing = 'fencing',
  /** Fenced as never seen; a heartbeat has to confirm that the endpoint did not restart. */
  Confirming = 'confirming',
  /** Cancelled or past its deadline; the endpoint is asked to stop it. */
  Stopping = 'stopping',
}

/** The state that the tasks of one job share at this owner. @internal */
export interface JobRecord {
  readonly jobId: string
  readonly caller: string
  readonly coordinator: string
  readonly idempotent: boolean
  readonly traceparent: string
  readonly trace: Traceparent | undefined
  /** Tasks of the whole job without a result, as far as this owner knows. */
  remaining: number
  readonly tasks: Map<number, TaskRecord>
  /** Created at the first dispatch while the job has several tasks left. */
  spread: JobSpread | undefined
}

/** How a task ends if its answer has not arrived by `until`. @internal */
export interface FallbackEnd {
  readonly until: number
  readonly result: TaskResult
}

/** @internal */
export class TaskRecord implements QueuedTask {
  phase = TaskPhase.Queued
  /** The endpoint that the task is dispatched to. */
  endpoint: EndpointRecord | undefined
  /** Boot of the endpoint when the task was dispatched. */
  endpointBoot = 0
  /** Numbers of the open requests for the task: one, or two once a second request joined it. */
  requests: readonly number[] = []
  dispatchedAt = 0
  /** When the latest message that may have granted the lease was sent, answered or not. */
  leasedAt = 0
  /** Consecutive unanswered renewals. */
  unansweredRenewals = 0
  /** When a renewal's answer said that the task does not run, while its result is outstanding. */
  missingFromRenewalAt: number | undefined
  /** When a heartbeat did not list the task, while its result is outstanding. */
  missingFromHeartbeatAt: number | undefined
  /** A renewal confirmed that the task runs, which takes precedence over heartbeat lists. */
  confirmedByRenewal = false
  /** Earliest time of the next request to the endpoint about the task. */
  recheckAt = 0
  /** Set while a result may still be in flight after the task ended or its endpoint restarted. */
  fallbackEnd: FallbackEnd | undefined
  /** A join request was sent, so the endpoint is known to have started the task. */
  started = false
  /** The report was sent, or none is to be sent. */
  reportClosed = false
  /** Dispatches that provably did not run. */
  retries = 0
  /** The rack under which the task is counted in its job's spread. */
  countedRack: string | undefined
  /** The last endpoint that refused the task, and until when other endpoints are preferred. */
  refusedBy: string | undefined
  refusedUntil = 0
  /** Span id of the current dispatch, created on first use. */
  runSpanId: string | undefined
  /** Endpoints where the task's id is fenced. */
  fencedEndpoints: readonly string[] = []
  readonly jobRemaining: number
  readonly estimateMs: number
  readonly attempt: number
  readonly spec: TaskSpec
  readonly index: number

  constructor(
    readonly taskId: string,
    readonly job: JobRecord,
    readonly deadlineAt: number,
    /** When the task was last queued. */
    public enqueuedAt: number,
    placed: PlacedTask,
    spec: TaskSpec,
  ) {
    this.jobRemaining = job.remaining
    this.estimateMs = placed.estimateMs
    this.attempt = placed.attempt
    this.index = placed.index
    this.spec = spec
  }

  get jobId(): string {
    return this.job.jobId
  }

  get caller(): string {
    return this.job.caller
  }

  get service(): string {
    return this.spec.service
  }

  get resources(): Resources | undefined {
    return this.spec.resources
  }

  /** @returns whether the request was open */
  closeRequest(run: number): boolean {
    if (!this.requests.includes(run)) return false
    this.requests = this.requests.filter((open) => open !== run)
    return true
  }
}
