import type { Job } from '../jobs/Job'
import type { AdmissionInput } from './JobAdmission'
import { latestStart } from './latestStart'
import type { PlaceForecast } from './PlaceForecast'

/** A waiting job in a replay, by its place in the order. @internal */
export type ReplayRow = number

/**
 * Plays out who would get the last of its places too late. What it needs of the waiting jobs is
 * written down as numbers once, so that it can be played again for each new job.
 *
 * @internal
 */
export class ForecastReplay {
  /** Places taken in all plays. */
  placesTaken = 0
  readonly #ranked: readonly Job[]
  readonly #freeByMs: Int32Array
  /** Run times of all waiting tasks, those of a job together, in milliseconds. */
  readonly #runMs: Float64Array
  /** Where the tasks of each job begin in that list, and its end. */
  readonly #firstTask: Int32Array
  /** Milliseconds from now until each job has to start; negative once that is over. */
  readonly #latestMs: Float64Array
  /** The same until it counts as too late. */
  readonly #limitMs: Float64Array
  /** Jobs that get no place. */
  readonly #isLeftOut: Uint8Array
  /** Jobs that are late whatever becomes of the new ones. */
  readonly #isLateAnyway: Uint8Array
  readonly #rowOfNewcomer = new Map<Job, ReplayRow>()

  /** @param tolerance - how much too late a job may seem to start, in milliseconds */
  constructor(
    now: number,
    { ranked, waitingTasks, places }: AdmissionInput,
    tolerance: (job: Job) => number,
    private readonly forecast: PlaceForecast,
  ) {
    this.#ranked = ranked
    this.#freeByMs = places.freeByMs(waitingTasks)
    this.#runMs = new Float64Array(waitingTasks)
    this.#firstTask = new Int32Array(ranked.length + 1)
    this.#latestMs = new Float64Array(ranked.length)
    this.#limitMs = new Float64Array(ranked.length)
    this.#isLeftOut = new Uint8Array(ranked.length)
    this.#isLateAnyway = new Uint8Array(ranked.length)
    this.#writeDown(now, tolerance)
  }

  #writeDown(now: number, tolerance: (job: Job) => number): void {
    let task = 0
    let row = 0
    for (const job of this.#ranked) {
      const { waiting, stepMs } = job
      for (const { step } of waiting) this.#runMs[task++] = stepMs[step] ?? 0
      const latestMs = latestStart(job, job.remainingMs()) - now
      this.#latestMs[row] = latestMs
      this.#limitMs[row] = latestMs + tolerance(job)
      if (!job.isAdmitted) this.#rowOfNewcomer.set(job, row)
      row++
      this.#firstTask[row] = task
    }
  }

  /** The new jobs, in the order in which they came. */
  newcomers(): ReplayRow[] {
    const rows = [...this.#rowOfNewcomer]
    return rows.sort(([a], [b]) => a.arrivedAt - b.arrivedAt).map(([, row]) => row)
  }

  jobAt(row: ReplayRow): Job {
    const job = this.#ranked[row]
    if (job === undefined) throw new Error(`no job waits at ${row}`)
    return job
  }

  /** A job gets places from now on, or gets none. */
  leaveOut(row: ReplayRow, isLeftOut: boolean): void {
    this.#isLeftOut[row] = isLeftOut ? 1 : 0
  }

  /** Such a job is late whatever becomes of the new ones. */
  noteLate(row: ReplayRow): void {
    this.#isLateAnyway[row] = 1
  }

  /** All jobs that would start too late, and by how many milliseconds. */
  findLate(): ReadonlyMap<ReplayRow, number> {
    const late = new Map<ReplayRow, number>()
    this.#play((row, lateByMs) => {
      late.set(row, lateByMs)
      return true
    })
    return late
  }

  /**
   * By how many milliseconds the first job is late that a new one harms, which may be itself;
   * undefined when it harms none.
   */
  harmBy(newcomer: ReplayRow): number | undefined {
    let harmMs: number | undefined
    this.#play((row, lateByMs) => {
      if (row !== newcomer && this.#isLateAnyway[row] === 1) return true
      harmMs = lateByMs
      return false
    })
    return harmMs
  }

  /** @param onLate - told of each job that starts too late; false ends the play */
  #play(onLate: (row: ReplayRow, lateByMs: number) => boolean): void {
    const { forecast } = this
    forecast.reset(this.#freeByMs)
    for (let row = 0; row < this.#ranked.length; row++) {
      if (this.#isLeftOut[row] === 1) continue
      const waitMs = this.#takePlaces(row)
      // What can begin at once loses nothing by it, late as it is.
      if (waitMs === 0 || waitMs <= (this.#limitMs[row] ?? 0)) continue
      if (!onLate(row, waitMs - (this.#latestMs[row] ?? 0))) return
    }
  }

  /** @returns milliseconds until the last task of the job begins */
  #takePlaces(row: ReplayRow): number {
    const end = this.#firstTask[row + 1] ?? 0
    let task = this.#firstTask[row] ?? 0
    this.placesTaken += end - task
    let waitMs = 0
    for (; task < end; task++) waitMs = this.forecast.take(this.#runMs[task] ?? 0)
    return waitMs
  }
}
