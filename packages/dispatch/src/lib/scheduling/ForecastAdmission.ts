import type { Job } from '../jobs/Job'
import { JobAdmission } from './JobAdmission'
import type { AdmissionDecision, AdmissionInput, RefusedJob } from './JobAdmission'
import { ForecastReplay } from './ForecastReplay'
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
    const toleranceOf = (job: Job): number => tolerance(now, job)
    const replay = new ForecastReplay(now, input, toleranceOf, this.#forecast)
    if (newcomers.length > 1 && replay.findLate().size === 0) {
      return { ...all, placesForecast: replay.placesTaken }
    }
    const rows = replay.newcomers()
    for (const row of rows) replay.leaveOut(row, true)
    const refused = refuseAdmitted(now, replay)
    const admitted: Job[] = []
    for (const row of rows) {
      replay.leaveOut(row, false)
      const lateByMs = replay.harmBy(row)
      if (lateByMs === undefined) {
        admitted.push(replay.jobAt(row))
        continue
      }
      replay.leaveOut(row, true)
      refused.push({ job: replay.jobAt(row), lateByMs })
    }
    return { admitted, refused, placesForecast: replay.placesTaken }
  }
}

/** Jobs that were admitted and lost their places since, as long as their callers can go elsewhere. */
function refuseAdmitted(now: number, replay: ForecastReplay): RefusedJob[] {
  const refused: RefusedJob[] = []
  for (const [row, lateByMs] of replay.findLate()) {
    replay.noteLate(row)
    const job = replay.jobAt(row)
    if (!mayStillRefuse(now, job)) continue
    replay.leaveOut(row, true)
    refused.push({ job, lateByMs })
  }
  return refused
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
