import type { Traceparent } from '@cherryhitch/model'
import type { QueuedTask } from '@cherryhitch/policy'
import type { PlacedTask, Resources, TaskSpec } from '@cherryhitch/protocol'
import type { TaskEnd } from '../outcomes/TaskEnd'
import type { EndpointRecord } from '../endpoints/EndpointRecord'
import type { JobSpread } from './JobSpread'

/** Where a task stands at its owner. @internal */
export enum TaskPhase {
  /** In the queue of its service. */
  Queued = 'queued',
  /** Truly not run; it goes back to the queue after a delay. */
  Delayed = 'delayed',
  /** Dispatched; a request is open. */
  Running = 'running',
  /** The request broke; the endpoint is asked whether the task runs. */
  Checking = 'checking',
  /** The endpoint does not run it; it is asked to fence the id. */
  Fencing = 'fencing',
  /** Fenced as never seen; a heartbeat has to confirm that the endpoint did not restart. */
  Confirming = 'confirming',
  /** Nobody waits for it any more; the endpoint is asked to stop it. */
  Stopping = 'stopping',
}

/** What the tasks of one job have in common at this owner. @internal */
export interface JobRecord {
  readonly jobId: string
  readonly caller: string
  readonly coordinator: string
  readonly idempotent: boolean
  readonly traceparent: string
  readonly trace: Traceparent | undefined
  /** Tasks of the whole job without a result, as far as it is known here. */
  remaining: number
  readonly tasks: Map<number, TaskRecord>
  /** Made with the first dispatch of a job that has several tasks left. */
  spread: JobSpread | undefined
}

/** How a task ends when its answer does not come until an instant. @internal */
export interface LastChance {
  readonly until: number
  readonly end: TaskEnd
}

/** @internal */
export class TaskRecord implements QueuedTask {
  phase = TaskPhase.Queued
  /** Where it was dispatched to. */
  endpoint: EndpointRecord | undefined
  /** Boot of the endpoint when the task was dispatched. */
  endpointBoot = 0
  /** Numbers of the requests that are open for it: one, or two while it is joined. */
  requests: readonly number[] = []
  dispatchedAt = 0
  /** When the message left that granted its lease last, heard or not. */
  leasedAt = 0
  /** Renewals in a row that had no answer. */
  unansweredRenewals = 0
  /** A renewal said that it does not run, though its answer has not come. */
  missedAt: number | undefined
  /** A heartbeat did not list it, though its answer has not come. */
  doubtedAt: number | undefined
  /** A renewal was answered for it, which counts for more than what heartbeats list. */
  vouched = false
  /** Earliest instant of the next question about it. */
  recheckAt = 0
  /** Set when its answer, if it comes at all, is on its way already. */
  lastChance: LastChance | undefined
  /** A request after the first one was made, so it is known to have started. */
  started = false
  /** Its report was sent, or none is wanted. */
  muted = false
  /** Dispatches that truly did not run. */
  retries = 0
  /** The rack where it counts among its job's running tasks. */
  countedRack: string | undefined
  /** The endpoint that refused it last, and until when it is tried elsewhere if there is one. */
  refusedBy: string | undefined
  refusedUntil = 0
  /** Span of the present dispatch, once it was asked for. */
  runSpanId: string | undefined
  /** Endpoints where its id is fenced. */
  fencedAt: readonly string[] = []
  readonly jobRemaining: number
  readonly estimateMs: number
  readonly attempt: number
  readonly spec: TaskSpec
  readonly index: number

  constructor(
    readonly taskId: string,
    readonly job: JobRecord,
    readonly deadlineAt: number,
    /** When it was queued last. */
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
