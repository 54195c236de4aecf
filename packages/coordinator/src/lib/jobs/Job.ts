import type { JobSpec } from '@cherryhitch/protocol'
import { Outcome } from '@cherryhitch/protocol'
import type { Placement } from './Placement'
import type { Waiter } from './Waiter'

/** State of a task at its coordinator. @internal */
export enum TaskPhase {
  /** Not with an owner: not placed yet, or known not to have run at any owner that had it. */
  Waiting = 'waiting',
  /** Placed; it may be running. */
  InFlight = 'in_flight',
  Succeeded = 'succeeded',
  /** It ran and failed, or its outcome is unknown. */
  Failed = 'failed',
}

/** @internal */
export interface TaskRecord {
  readonly job: Job
  readonly index: number
  readonly estimateMs: number
  phase: TaskPhase
  placement: Placement | undefined
  attempt: number
  output: string
  /**
   * Instances that reported the task as not run. They are not given the task again, so that a
   * repeated report on an earlier attempt cannot be mistaken for one on the current attempt.
   */
  refusedBy: readonly string[]
  /** Instances that would not queue the task, as they fenced its id or passed the task on. */
  avoidedOwners: readonly string[]
}

/** State of a job at its coordinator. @internal */
export enum JobPhase {
  /** Waiting for the claim on its submission key; no task is placed. */
  Claiming = 'claiming',
  /** Waiting for the answer of another job that holds its submission key. */
  Joining = 'joining',
  Running = 'running',
  Ended = 'ended',
}

/** @internal */
export interface JobInit {
  readonly id: string
  readonly sequence: number
  readonly spec: JobSpec
  readonly startedAt: number
  readonly deadlineAt: number
  readonly respondAsync: boolean
  readonly estimatesMs: readonly number[]
  readonly contentHash: string
  readonly traceparent: string
}

const NO_INSTANCES: readonly string[] = []

/** A job that this coordinator is responsible for. @internal */
export class Job {
  readonly id: string
  readonly sequence: number
  readonly spec: JobSpec
  readonly startedAt: number
  readonly deadlineAt: number
  readonly respondAsync: boolean
  /** SHA-256 of the content; empty for a job without a submission key. */
  readonly contentHash: string
  /** Span of the whole job; parent of its placement spans. */
  readonly traceparent: string
  readonly tasks: readonly TaskRecord[]
  readonly waiters: Waiter[] = []
  phase = JobPhase.Running
  /** Id of the job that holds the submission key, if this job joined it; otherwise empty. */
  joinedId = ''
  /** Whether this job holds the claim on its submission key. */
  claimed = false
  placements = 0
  /** Number of late-task queries so far. */
  lateTaskQueries = 0
  /** Whether a timer for the next late-task query is running. */
  lateTaskQueryScheduled = false
  private inFlightCount = 0
  private succeededCount = 0
  private failedCount = 0

  constructor(init: JobInit) {
    this.id = init.id
    this.sequence = init.sequence
    this.spec = init.spec
    this.startedAt = init.startedAt
    this.deadlineAt = init.deadlineAt
    this.respondAsync = init.respondAsync
    this.contentHash = init.contentHash
    this.traceparent = init.traceparent
    this.tasks = init.estimatesMs.map((estimateMs, index) => ({
      job: this,
      index,
      estimateMs,
      phase: TaskPhase.Waiting,
      placement: undefined,
      attempt: 0,
      output: '',
      refusedBy: NO_INSTANCES,
      avoidedOwners: NO_INSTANCES,
    }))
  }

  get caller(): string {
    return this.spec.caller
  }

  get isKeyed(): boolean {
    return this.spec.submissionKey !== ''
  }

  /** Number of tasks that have not succeeded. */
  get remaining(): number {
    return this.tasks.length - this.succeededCount
  }

  get tasksEnded(): number {
    return this.succeededCount + this.failedCount
  }

  get inFlight(): number {
    return this.inFlightCount
  }

  /**
   * Outcome to report for a job that ends without success. NOT_RUN requires proof: no task is in
   * flight, and no task ran or may have run.
   */
  get outcomeWithoutSuccess(): Outcome {
    if (this.phase === JobPhase.Joining) return Outcome.UNKNOWN
    const noneMayHaveRun = this.inFlightCount + this.succeededCount + this.failedCount === 0
    return noneMayHaveRun ? Outcome.NOT_RUN : Outcome.UNKNOWN
  }

  markPlaced(task: TaskRecord, placement: Placement): void {
    task.phase = TaskPhase.InFlight
    task.placement = placement
    placement.openTasks++
    this.inFlightCount++
  }

  markSucceeded(task: TaskRecord, output: string): void {
    this.removeFromFlight(task, TaskPhase.Succeeded)
    this.succeededCount++
    task.output = output
  }

  /** Marks a task that ran and failed, or whose outcome is unknown. */
  markFailed(task: TaskRecord): void {
    if (task.placement !== undefined) task.placement.ok = false
    this.removeFromFlight(task, TaskPhase.Failed)
    this.failedCount++
  }

  /** Marks a task that is known not to have run at its owner and at the reporting instance. */
  markNotRun(task: TaskRecord, from: string): void {
    const owner = task.placement?.owner ?? from
    if (task.placement !== undefined) task.placement.ok = false
    this.removeFromFlight(task, TaskPhase.Waiting)
    task.attempt++
    task.refusedBy = owner === from ? [...task.refusedBy, from] : [...task.refusedBy, owner, from]
  }

  /** Records that another owner reported that it has the task. */
  markPassedOn(task: TaskRecord, placement: Placement): void {
    if (task.placement !== undefined) task.placement.openTasks--
    task.placement = placement
    placement.openTasks++
  }

  private removeFromFlight(task: TaskRecord, phase: TaskPhase): void {
    if (task.placement !== undefined) task.placement.openTasks--
    task.phase = phase
    this.inFlightCount--
  }
}
