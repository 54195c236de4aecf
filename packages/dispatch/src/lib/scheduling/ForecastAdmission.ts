import type { Job } from '../jobs/Job'
import { JobAdmission } from './JobAdmission'
import type { AdmissionDecision, AdmissionInput, RefusedJob } from './JobAdmission'
import { latestStart } from './latestStart'
import { PlaceForecast } from './PlaceForecast'

/**
 * A job that was admitted is refused after all while no more than this share of its time has
 * passed, if places are lost meanwhile: its caller can still go elsewhere.
 */
const EARLY_SHARE = 0.2
/**
 * Shares of its objective by which a job may seem to start too late when it comes, and when it can
 * be refused for the last time. Places become free sooner or later than estimated, and a job that is
 * refused for nothing is lost: less tolerance refuses more of what could be served.
 */
const DOOR_TOLERANCE = 0.4
const LAST_TOLERANCE = 0.2

/**
 * Decides at once which new jobs will get their places in time, so that the caller of another one
 * learns it at the door and not at the end of its time. A new job is refused when it would start
 * too late itself, or would make one late that was admitted before it.
 *
 * It answers a load above what the places can do.
 *
 * @public
 */
export class ForecastAdmission extends JobAdmission {
  readonly #forecast = new PlaceForecast()

  override decide(now: number, input: AdmissionInput): AdmissionDecision {
    const { newcomers, waitingTasks, places } = input
    const all = { admitted: newcomers, refused: [] }
    if (waitingTasks <= places.free(waitingTasks)) return { ...all, placesForecast: 0 }
    const replay = new Replay(now, input, this.#forecast)
    if (newcomers.length > 0 && replay.findLate(new Set()).size === 0) {
      return { ...all, placesForecast: replay.placesTaken }
    }
    const left = new Set(newcomers)
    const lateBefore = replay.findLate(left)
    const refused = this.#refuseAdmitted(now, lateBefore, left)
    const admitted: Job[] = []
    for (const job of [...newcomers].sort((a, b) => a.arrivedAt - b.arrivedAt)) {
      left.delete(job)
      const late = replay.findLate(left)
      const harmed = [...late].find(([other]) => other === job || !lateBefore.has(other))
      if (harmed === undefined) {
        admitted.push(job)
        continue
      }
      left.add(job)
      refused.push({ job, lateByMs: harmed[1] })
    }
    return { admitted, refused, placesForecast: replay.placesTaken }
  }

  /** Jobs that were admitted and lost their places since, as long as their callers can go elsewhere. */
  #refuseAdmitted(now: number, late: ReadonlyMap<Job, number>, left: Set<Job>): RefusedJob[] {
    const refused: RefusedJob[] = []
    for (const [job, lateByMs] of late) {
      if (!mayStillRefuse(now, job)) continue
      refused.push({ job, lateByMs })
      left.add(job)
    }
    return refused
  }
}

/** Plays, from the same places, who would get the last of its places too late. */
class Replay {
  /** Places taken in all plays. */
  placesTaken = 0
  readonly #freeByMs: Int32Array

  constructor(
    private readonly now: number,
    private readonly input: AdmissionInput,
    private readonly forecast: PlaceForecast,
  ) {
    this.#freeByMs = input.places.freeByMs(input.waitingTasks)
  }

  /**
   * The jobs that would get their last place too late, and by how much, in milliseconds.
   *
   * @param left - jobs that get none
   */
  findLate(left: ReadonlySet<Job>): Map<Job, number> {
    const { now, forecast } = this
    const late = new Map<Job, number>()
    forecast.reset(this.#freeByMs)
    for (const job of this.input.ranked) {
      if (left.has(job)) continue
      const waitMs = this.#takePlaces(job)
      const lateByMs = now + waitMs - latestStart(job, job.remainingMs())
      // What can begin at once loses nothing by it, late as it is.
      if (waitMs > 0 && lateByMs > tolerance(now, job)) late.set(job, lateByMs)
    }
    return late
  }

  /** @returns milliseconds until the last of its tasks begins */
  #takePlaces(job: Job): number {
    const { waiting } = job
    this.placesTaken += waiting.length
    let waitMs = 0
    for (const task of waiting) waitMs = this.forecast.take(job.runMs(task))
    return waitMs
  }
}

/** How late a job may seem to start while it is taken in all the same, in milliseconds. */
function tolerance(now: number, { arrivedAt, objectiveAt }: Job): number {
  const objectiveMs = objectiveAt - arrivedAt
  const age = Math.min(1, (now - arrivedAt) / (EARLY_SHARE * objectiveMs))
  return objectiveMs * (DOOR_TOLERANCE + (LAST_TOLERANCE - DOOR_TOLERANCE) * age)
}

function mayStillRefuse(now: number, job: Job): boolean {
  const { arrivedAt, objectiveAt, hasStarted } = job
  return !hasStarted && now - arrivedAt <= EARLY_SHARE * (objectiveAt - arrivedAt)
}
