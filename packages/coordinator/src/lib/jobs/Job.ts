import type { JobSpec } from '@cherryhitch/protocol'
import { Outcome } from '@cherryhitch/protocol'
import type { Placement } from './Placement'
import type { Waiter } from './Waiter'

/** Where a task stands with its coordinator. @internal */
export enum TaskPhase {
  /** With no owner: not placed yet, or truly not run at those that had it. */
  Waiting = 'waiting',
  /** Placed; it may be running. */
  InFlight = 'in_flight',
  Succeeded = 'succeeded',
  /** It ran and failed, or may have run. */
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
   * Instances that said "not run". None of them gets the task again, so that a repeated report
   * of an earlier attempt can't be taken for one of the present attempt.
   */
  refusedBy: readonly string[]
  /** Instances that would not queue it: they fenced its id, or passed it on to another one. */
  avoided: readonly string[]
}

/** Where a job stands with its coordinator. @internal */
export enum JobPhase {
  /** It waits for the claim of its key; nothing is placed. */
  Claiming = 'claiming',
  /** Its key is held by another job, whose answer is awaited. */
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

const NOBODY: readonly string[] = []

/** One job that this coordinator answers for. @internal */
export class Job {
  readonly id: string
  readonly sequence: number
  readonly spec: JobSpec
  readonly startedAt: number
  readonly deadlineAt: number
  readonly respondAsync: boolean
  /** SHA-256 of the content; empty for a job without a key. */
  readonly contentHash: string
  /** Span of the whole job, as the parent of its placements. */
  readonly traceparent: string
  readonly tasks: readonly TaskRecord[]
  readonly waiters: Waiter[] = []
  phase = JobPhase.Running
  /** The job that holds the key, for one that joined it. */
  joinedId = ''
  /** Whether this job holds the claim of its key. */
  claimed = false
  placements = 0
  /** Questions about late tasks so far. */
  questions = 0
  /** Whether the time of the next question is set. */
  questionDue = false
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
      refusedBy: NOBODY,
      avoided: NOBODY,
    }))
  }

  get caller(): string {
    return this.spec.caller
  }

  get isKeyed(): boolean {
    return this.spec.submissionKey !== ''
  }

  /** Tasks without a success. */
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
   * What may be said of a job that ends without success. NOT_RUN needs proof: no task is with an
   * owner, and none of them ran or may have run.
   */
  get outcomeWithoutSuccess(): Outcome {
    if (this.phase === JobPhase.Joining) return Outcome.UNKNOWN
    const untouched = this.inFlightCount + this.succeededCount + this.failedCount === 0
    return untouched ? Outcome.NOT_RUN : Outcome.UNKNOWN
  }

  markPlaced(task: TaskRecord, placement: Placement): void {
    task.phase = TaskPhase.InFlight
    task.placement = placement
    placement.open++
    this.inFlightCount++
  }

  markSucceeded(task: TaskRecord, output: string): void {
    this.leaveFlight(task, TaskPhase.Succeeded)
    this.succeededCount++
    task.output = output
  }

  /** The task ran and failed, or nobody can tell. */
  markFailed(task: TaskRecord): void {
    if (task.placement !== undefined) task.placement.ok = false
    this.leaveFlight(task, TaskPhase.Failed)
    this.failedCount++
  }

  /** The task truly did not run, as its owner and the instance that reports say. */
  markNotRun(task: TaskRecord, from: string): void {
    const owner = task.placement?.owner ?? from
    if (task.placement !== undefined) task.placement.ok = false
    this.leaveFlight(task, TaskPhase.Waiting)
    task.attempt++
    task.refusedBy = owner === from ? [...task.refusedBy, from] : [...task.refusedBy, owner, from]
  }

  /** Another owner says that it has the task now. */
  markPassedOn(task: TaskRecord, placement: Placement): void {
    if (task.placement !== undefined) task.placement.open--
    task.placement = placement
    placement.open++
  }

  private leaveFlight(task: TaskRecord, phase: TaskPhase): void {
    if (task.placement !== undefined) task.placement.open--
    task.phase = phase
    this.inFlightCount--
  }
}
