import { hash32 } from '@cherryhitch/model'
import type { JobStep, Route, SteppedJob } from '@cherryhitch/protocol'
import type { Run } from '../runs/Run'

const MILLICORES_PER_CORE = 1_000

/** @internal */
export enum TaskState {
  /** Waits for the steps that its own step depends on. */
  Blocked = 'blocked',
  /** Ready to start; waits for an endpoint. */
  Waiting = 'waiting',
  /** Sent to an endpoint, or running there. */
  Placed = 'placed',
  Done = 'done',
}

/** One task of a job. @internal */
export interface Task {
  readonly job: Job
  readonly name: string
  readonly step: number
  /** Written only by the job, which counts its tasks by state. */
  readonly state: TaskState
  /** Runs that ended as failed. */
  failures: number
  /** Highest run number used so far. */
  lastRun: number
  /** Endpoints on which a run of this task failed or was lost. */
  readonly avoidedEndpoints: Set<string>
  /** Endpoints on which a run of this task was stopped because it took too long. */
  readonly overrunEndpoints: Set<string>
  /** An endpoint was lost while running this task, and the task may have crashed it. */
  isSuspect: boolean
  run: Run | undefined
}

/** An open request that waits for the verdict of a job. @internal */
export interface JobWaiter {
  /** Instance through which the caller sent the request. */
  readonly instance: string
  readonly requestId: string
  /** Version of the routing table by which the request was handled; 0 if there was none. */
  readonly routingVersion: number
}

/** Counts of abnormal events in the runs of a job. The keys are fields of a log line. @internal */
export interface RunAnomalies {
  /** Start orders that were not answered. */
  unansweredStarts: number
  /** Runs whose endpoint was lost or whose lease expired. */
  lostRuns: number
  /** Runs that took far longer than estimated. */
  overruns: number
}

/** @internal */
export interface JobOptions {
  readonly id: string
  readonly route: Route
  readonly spec: SteppedJob
  readonly arrivedAt: number
  readonly deadlineAt: number
  /** Estimated run time of one task of each step, in milliseconds. */
  readonly stepMs: readonly number[]
  /** Safety margin before the latest start time, in milliseconds. */
  readonly startMarginMs: number
  /** Run numbers start above this value, because an earlier leader may have used lower ones. */
  readonly firstRun: number
  /** An earlier leader may have started the job. */
  readonly isResumed: boolean
  /** It can't be told yet whether an earlier leader may have started the job; false by default. */
  readonly hasUnknownOrigin?: boolean
  /** Earlier leaders that may have started the job; 0 by default. */
  readonly earlierAttempts?: number
  /** Called when the state or the estimate of a task has changed. */
  readonly onTaskStateChange?: (job: Job) => void
}

/** A task with writable state, as its job uses it. */
type MutableTask = Omit<Task, 'state'> & { state: TaskState }

/**
 * A job and its tasks. The values that the scheduler reads in each round are updated when a task
 * changes state, so that unchanged jobs cost nothing.
 *
 * @internal
 */
export class Job {
  readonly id: string
  /** Hash of its id, by which instances that may lead know it. */
  readonly idHash: number
  readonly route: Route
  readonly spec: SteppedJob
  readonly arrivedAt: number
  deadlineAt: number
  readonly startMarginMs: number
  /** An earlier leader may have started the job. */
  readonly isResumed: boolean
  /**
   * When the job arrived, it couldn't be told whether an earlier leader may be running it. It can be
   * told once all runs of earlier leaders are known.
   */
  readonly hasUnknownOrigin: boolean
  /** Earlier leaders that may have started the job. */
  readonly earlierAttempts: number
  readonly tasks: readonly Task[]
  readonly waiters: JobWaiter[] = []
  /** True once a start order was sent for a task, by this leader or an earlier one. */
  hasStarted: boolean
  firstStartAt: number | undefined
  lastStartAt: number | undefined
  /** Abnormal events in its runs, for the log. */
  readonly anomalies: RunAnomalies = { unansweredStarts: 0, lostRuns: 0, overruns: 0 }
  /** Admission control has passed the job; until then it may be refused. */
  isAdmitted: boolean
  #lateSince: number | undefined
  /** The verdict was given: no task is started any more, and the job is removed once none runs. */
  isClosed = false
  endpointsUsed = new Set<string>()
  readonly #onTaskStateChange: (job: Job) => void
  /** Number of tasks of each step that are not done. */
  readonly #unfinishedByStep: number[]
  #unfinished: number
  #placed = 0
  #placedCpuMillis = 0
  #waitingCpuMillis: number | undefined
  #waiting: readonly Task[] | undefined
  #remainingMs: number | undefined
  readonly #stepMs: number[]
  #criticalPathMs: number

  constructor(options: JobOptions) {
    const { id, route, spec, arrivedAt, deadlineAt, stepMs, firstRun, isResumed } = options
    this.id = id
    this.idHash = hash32(id)
    this.route = route
    this.spec = spec
    this.arrivedAt = arrivedAt
    this.deadlineAt = deadlineAt
    this.#stepMs = [...stepMs]
    this.startMarginMs = options.startMarginMs
    this.isResumed = isResumed
    this.hasUnknownOrigin = options.hasUnknownOrigin ?? false
    this.earlierAttempts = options.earlierAttempts ?? 0
    this.hasStarted = isResumed
    this.isAdmitted = isResumed
    this.#criticalPathMs = computeCriticalPathMs(spec.steps, stepMs)
    this.tasks = spec.steps.flatMap((step, number) => this.#makeTasks(step, number, firstRun))
    this.#unfinishedByStep = spec.steps.map(({ count }) => count)
    this.#unfinished = this.tasks.length
    this.#onTaskStateChange = options.onTaskStateChange ?? (() => undefined)
  }

  /** Estimated run time of one task of each step, in milliseconds. */
  get stepMs(): readonly number[] {
    return this.#stepMs
  }

  /** Estimated duration of the longest chain of dependent steps, in milliseconds. */
  get criticalPathMs(): number {
    return this.#criticalPathMs
  }

  /** Time by which the job must finish to meet the latency objective of its route. */
  get objectiveAt(): number {
    return this.arrivedAt + this.route.stretch * this.#criticalPathMs + this.route.targetMs
  }

  /** Tasks that wait for an endpoint. Returns the same array until a task changes state. */
  get waiting(): readonly Task[] {
    this.#waiting ??= this.tasks.filter(({ state }) => state === TaskState.Waiting)
    return this.#waiting
  }

  /** True if a task is placed or done. */
  get isInProgress(): boolean {
    return this.#placed > 0 || this.#unfinished < this.tasks.length
  }

  /** CPU that its placed tasks need, in thousandths of a core. */
  get placedCpuMillis(): number {
    return this.#placedCpuMillis
  }

  /** CPU that its waiting tasks need, in thousandths of a core. */
  get waitingCpuMillis(): number {
    this.#waitingCpuMillis ??= this.waiting.reduce((sum, task) => sum + this.#cpuMillisOf(task), 0)
    return this.#waitingCpuMillis
  }

  get isDone(): boolean {
    return this.#unfinished === 0
  }

  /** When the job was left to slots that no job can use in time; undefined for other jobs. */
  get lateSince(): number | undefined {
    return this.#lateSince
  }

  /** Leaves the job to slots that no job can use in time. */
  serveLate(now: number): void {
    this.#lateSince ??= now
    this.#onTaskStateChange(this)
  }

  /** Changes the state of a task and updates the counts of the job. */
  setTaskState(task: Task, state: TaskState): void {
    const before = task.state
    if (before === state) return
    ;(task as MutableTask).state = state
    const placed = countIf(state === TaskState.Placed) - countIf(before === TaskState.Placed)
    this.#placed += placed
    if (placed !== 0) this.#placedCpuMillis += placed * this.#cpuMillisOf(task)
    const change = countIf(before === TaskState.Done) - countIf(state === TaskState.Done)
    this.#unfinished += change
    this.#unfinishedByStep[task.step] = (this.#unfinishedByStep[task.step] ?? 0) + change
    if (change !== 0) this.#remainingMs = undefined
    this.#waiting = undefined
    this.#waitingCpuMillis = undefined
    this.#onTaskStateChange(this)
  }

  /** Raises the estimate for the step of a task that has already run for `ms` milliseconds. */
  raiseEstimate({ step }: Task, ms: number): void {
    if (ms <= this.#ms(step)) return
    this.#stepMs[step] = ms
    this.#criticalPathMs = computeCriticalPathMs(this.spec.steps, this.#stepMs)
    this.#remainingMs = undefined
    this.#onTaskStateChange(this)
  }

  step(task: Task): JobStep {
    const step = this.spec.steps[task.step]
    if (step === undefined)
      throw new Error(`task ${task.name} has a step number that its job does not have`)
    return step
  }

  /** Estimated run time of a task, in milliseconds. */
  runMs(task: Task): number {
    return this.#ms(task.step)
  }

  /**
   * Estimated time until the job is done, in milliseconds, if all waiting tasks started now: the
   * duration of the longest chain of steps that are not done.
   */
  remainingMs(): number {
    this.#remainingMs ??= this.#computeRemainingMs()
    return this.#remainingMs
  }

  #computeRemainingMs(): number {
    const left = this.spec.steps.map((_, step) => (this.#isStepDone(step) ? 0 : this.#ms(step)))
    return computeCriticalPathMs(this.spec.steps, left)
  }

  /** Estimated processor time of all tasks, in core milliseconds. */
  get workMs(): number {
    const ofTask = (task: Task): number => {
      return this.#ms(task.step) * (this.step(task).needs?.cpuMillis ?? 0)
    }
    return this.tasks.reduce((sum, task) => sum + ofTask(task), 0) / MILLICORES_PER_CORE
  }

  /** Moves blocked tasks to `Waiting` once all steps that they depend on are done. */
  unblock(): void {
    for (const task of this.tasks) {
      if (task.state !== TaskState.Blocked) continue
      if (this.step(task).dependsOn.every((step) => this.#isStepDone(step))) {
        this.setTaskState(task, TaskState.Waiting)
      }
    }
  }

  #isStepDone(step: number): boolean {
    return this.#unfinishedByStep[step] === 0
  }

  #cpuMillisOf(task: Task): number {
    return this.step(task).needs?.cpuMillis ?? 0
  }

  #ms(step: number): number {
    return this.#stepMs[step] ?? 0
  }

  #makeTasks(step: JobStep, number: number, lastRun: number): Task[] {
    return Array.from({ length: step.count }, (_, index) => ({
      job: this,
      name: `${this.id}.0.${number}.${index}`,
      step: number,
      state: step.dependsOn.length === 0 ? TaskState.Waiting : TaskState.Blocked,
      failures: 0,
      lastRun,
      avoidedEndpoints: new Set<string>(),
      overrunEndpoints: new Set<string>(),
      isSuspect: false,
      run: undefined,
    }))
  }
}

function countIf(condition: boolean): number {
  return condition ? 1 : 0
}

/** Sum of the times along the longest chain of dependent steps. @internal */
export function computeCriticalPathMs(
  steps: readonly JobStep[],
  stepMs: readonly number[],
): number {
  const ends: number[] = []
  for (const [number, { dependsOn }] of steps.entries()) {
    const before = dependsOn.map((step) => ends[step] ?? 0)
    ends.push(Math.max(0, ...before) + (stepMs[number] ?? 0))
  }
  return Math.max(0, ...ends)
}
