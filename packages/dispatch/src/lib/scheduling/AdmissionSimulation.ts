import type { Job } from '../jobs/Job'
import type { AdmissionInput } from './JobAdmission'
import { latestStart } from './latestStart'
import type { SlotClass, SlotForecast } from './SlotForecast'

/** Index of a waiting job in a simulation, by queue order. @internal */
export type SimulationRow = number

/**
 * Simulates the assignment of slots to waiting jobs, to find those whose last task would start too
 * late. The values of the jobs are copied into arrays once, so that the simulation can be repeated
 * cheaply for each new job.
 *
 * @internal
 */
export class AdmissionSimulation {
  /** Slots assigned in all simulations so far. */
  slotsAssigned = 0
  readonly #ranked: readonly Job[]
  /** Slots that each job leaves free once it is beyond the share of its queue, or late. */
  readonly #headroomSlots: Int32Array
  #headroomTaken = 0
  readonly #slots: readonly SlotClass[]
  /** Estimated run times of all waiting tasks in milliseconds, grouped by job. */
  readonly #runMs: Float64Array
  /** Index of each job's first task in `#runMs`, followed by the length of `#runMs`. */
  readonly #firstTask: Int32Array
  /** Milliseconds from now to each job's latest start; negative once that has passed. */
  readonly #latestStartMs: Float64Array
  /**
   * Milliseconds from now until a start counts as too late: the latest start plus the tolerance.
   */
  readonly #startLimitMs: Float64Array
  /** Jobs that get no slots. */
  readonly #isExcluded: Uint8Array
  /** Jobs that are late whether or not the new jobs are admitted. */
  readonly #isLateRegardless: Uint8Array
  /** Milliseconds until the share of its queue has room for a new job beyond it. */
  readonly #shareWaitMs: Float64Array
  /** Jobs beyond the share of their queue. */
  readonly #isBeyondShare: Uint8Array
  /** Late jobs in the order in which they get slots. */
  readonly #lateRows: SimulationRow[] = []
  readonly #rowOfUndecided = new Map<Job, SimulationRow>()

  /** @param toleranceMs - by how many milliseconds a job may miss its latest start */
  constructor(
    now: number,
    { ranked, waitingTasks, slots, beyondShare, headroomSlots }: AdmissionInput,
    toleranceMs: (job: Job) => number,
    private readonly forecast: SlotForecast,
  ) {
    this.#ranked = ranked
    this.#runMs = new Float64Array(waitingTasks)
    this.#firstTask = new Int32Array(ranked.length + 1)
    this.#latestStartMs = new Float64Array(ranked.length)
    this.#startLimitMs = new Float64Array(ranked.length)
    this.#isExcluded = new Uint8Array(ranked.length)
    this.#isLateRegardless = new Uint8Array(ranked.length)
    this.#shareWaitMs = new Float64Array(ranked.length)
    this.#isBeyondShare = new Uint8Array(ranked.length)
    this.#headroomSlots = new Int32Array(ranked.length)
    this.#fillColumns(now, toleranceMs, beyondShare, headroomSlots)
    const mostHeadroom = this.#headroomSlots.reduce((most, one) => Math.max(most, one), 0)
    this.#slots = slots.classes(waitingTasks + mostHeadroom)
  }

  #fillColumns(
    now: number,
    toleranceMs: (job: Job) => number,
    beyondShare: ReadonlyMap<Job, number>,
    headroomSlots: (job: Job) => number,
  ): void {
    let task = 0
    let row = 0
    for (const job of this.#ranked) {
      const { waiting, stepMs } = job
      for (const { step } of waiting) this.#runMs[task++] = stepMs[step] ?? 0
      const latestStartMs = latestStart(job, job.remainingMs()) - now
      this.#latestStartMs[row] = latestStartMs
      this.#startLimitMs[row] = latestStartMs + toleranceMs(job)
      if (!job.isAdmitted) this.#rowOfUndecided.set(job, row)
      if (job.lateSince !== undefined) this.#addLate(row)
      const shareWaitMs = beyondShare.get(job)
      if (shareWaitMs !== undefined) this.#setBeyondShare(row, job, shareWaitMs)
      if (!job.isInProgress) this.#headroomSlots[row] = headroomSlots(job)
      row++
      this.#firstTask[row] = task
    }
  }

  #addLate(row: SimulationRow): void {
    this.#lateRows.push(row)
    this.#isExcluded[row] = 1
  }

  /** A new job beyond the share of its queue has no tolerance: its wait is that of the share. */
  #setBeyondShare(row: SimulationRow, { isAdmitted }: Job, shareWaitMs: number): void {
    this.#isBeyondShare[row] = 1
    if (isAdmitted) return
    this.#shareWaitMs[row] = shareWaitMs
    this.#startLimitMs[row] = this.#latestStartMs[row] ?? 0
  }

  /** Whether a job is beyond the share of its queue. */
  isBeyondShare(row: SimulationRow): boolean {
    return this.#isBeyondShare[row] === 1
  }

  /** Late jobs in the order in which they get slots; they are excluded from other simulations. */
  get lateRows(): readonly SimulationRow[] {
    return this.#lateRows
  }

  /** Whether a job can no longer meet its objective. */
  isPastLatestStart(row: SimulationRow): boolean {
    return (this.#latestStartMs[row] ?? 0) < 0
  }

  /** Jobs without an admission decision, in order of arrival. */
  undecidedRows(): SimulationRow[] {
    const rows = [...this.#rowOfUndecided]
    return rows.sort(([a], [b]) => a.arrivedAt - b.arrivedAt).map(([, row]) => row)
  }

  jobAt(row: SimulationRow): Job {
    const job = this.#ranked[row]
    if (job === undefined) throw new Error(`no waiting job at queue index ${row}`)
    return job
  }

  /** Excludes a job from further simulations, or includes it again. */
  setExcluded(row: SimulationRow, isExcluded: boolean): void {
    this.#isExcluded[row] = isExcluded ? 1 : 0
  }

  /** Marks a job as late whether or not the new jobs are admitted. */
  markLateRegardless(row: SimulationRow): void {
    this.#isLateRegardless[row] = 1
  }

  /** All jobs that would start too late, with their lateness in milliseconds. */
  findLate(): ReadonlyMap<SimulationRow, number> {
    const late = new Map<SimulationRow, number>()
    this.#simulate((row, lateByMs) => {
      late.set(row, lateByMs)
      return true
    })
    return late
  }

  /**
   * Lateness in milliseconds of the first job that a new job makes late, which may be the new job
   * itself; undefined when it makes none late. A job within the share of its queue may make jobs
   * late that are beyond theirs.
   */
  latenessCausedBy(newJob: SimulationRow): number | undefined {
    let caused: number | undefined
    this.#simulate((row, lateByMs) => {
      if (row !== newJob && this.#isLateRegardless[row] === 1) return true
      if (this.#isBeyondShare[row] === 1 && this.#isBeyondShare[newJob] === 0) return true
      caused = lateByMs
      return false
    })
    return caused
  }

  /**
   * Waits of late jobs, in milliseconds until the last task of each starts, in slots that all other
   * jobs leave: first those that are late already, then others.
   */
  waitsOfLate(others: readonly SimulationRow[]): ReadonlyMap<SimulationRow, number> {
    this.#simulate(() => true)
    const waits = new Map<SimulationRow, number>()
    for (const row of [...this.#lateRows, ...others]) {
      this.#takeHeadroom(row)
      waits.set(row, this.#assignSlots(row))
    }
    return waits
  }

  /** @param onLate - called for each job that starts too late; returns false to stop */
  #simulate(onLate: (row: SimulationRow, lateByMs: number) => boolean): void {
    const { forecast } = this
    forecast.reset(this.#slots)
    this.#headroomTaken = 0
    for (let row = 0; row < this.#ranked.length; row++) {
      if (this.#isExcluded[row] === 1) continue
      if (this.#isBeyondShare[row] === 1) this.#takeHeadroom(row)
      const waitMs = Math.max(this.#assignSlots(row), this.#shareWaitMs[row] ?? 0)
      // A job that can start at once gains nothing by a refusal, even if it is late already.
      if (waitMs === 0 || waitMs <= (this.#startLimitMs[row] ?? 0)) continue
      if (!onLate(row, waitMs - (this.#latestStartMs[row] ?? 0))) return
    }
  }

  /** Takes the slots that a job leaves free; jobs with more headroom follow. */
  #takeHeadroom(row: SimulationRow): void {
    const slots = this.#headroomSlots[row] ?? 0
    for (; this.#headroomTaken < slots; this.#headroomTaken++) this.forecast.reserve()
  }

  /**
   * @returns milliseconds until the last task of the job starts, or would have to at average speed
   */
  #assignSlots(row: SimulationRow): number {
    const end = this.#firstTask[row + 1] ?? 0
    let task = this.#firstTask[row] ?? 0
    this.slotsAssigned += end - task
    const latestStartMs = this.#latestStartMs[row] ?? 0
    let waitMs = 0
    for (; task < end; task++) {
      waitMs = Math.max(waitMs, this.forecast.take(this.#runMs[task] ?? 0, latestStartMs))
    }
    return waitMs
  }
}
