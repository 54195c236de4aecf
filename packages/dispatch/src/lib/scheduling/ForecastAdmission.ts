import type { Job } from '../jobs/Job'
import { isNew, JobAdmission } from './JobAdmission'
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
 * be refused for the last time: places become free sooner or later than estimated, and a job that
 * is refused for nothing is lost. With 0.15 and 0.05, at 0.9 of what the places can do 1.9 % were
 * refused and 95 % in time, with these 0.7 % and 97 %; at 1.3 it was 11 % and 80 %, with these 6 %
 * and 75 % (load.test.ts, three seeds). Most days are nearer to 0.9.
 */
const DOOR_TOLERANCE = 0.4
const LAST_TOLERANCE = 0.2

/**
 * Decides at once which new jobs will get their places in time, so that the caller of another one
 * learns it at the door and not at the end of its time. A new job is refused when it would start
 * too late itself, or would make one late that was admitted before it.
 *
 * It answers a load above what the places can do. At 1.3 times of it, 12 % of the jobs were refused after a
 * quarter of the objective or heard nothing of use, and 19 % without it; 68 % were in time and 67 % (load.test.ts, six
 * seeds).
 *
 * @public
 */
export class ForecastAdmission extends JobAdmission {
  override decide(now: number, input: AdmissionInput): AdmissionDecision {
    const { ranked } = input
    if (hasRoomForAll(input)) {
      return { admitted: ranked.filter(isNew), refused: [], placesForecast: 0 }
    }
    let placesForecast = 0
    const forecast = (jobs: readonly Job[]): Map<Job, number> => {
      placesForecast += waitingTasks(jobs)
      return forecastLate(now, jobs, input)
    }
    if (forecast(ranked).size === 0) {
      return { admitted: ranked.filter(isNew), refused: [], placesForecast }
    }
    const taken = new Set(ranked.filter((job) => !isNew(job)))
    const lateBefore = forecast(only(ranked, taken))
    const refused: RefusedJob[] = []
    for (const [job, lateByMs] of lateBefore) {
      if (!mayStillRefuse(now, job)) continue
      refused.push({ job, lateByMs })
      taken.delete(job)
    }
    const admitted: Job[] = []
    for (const job of ranked.filter(isNew).sort((a, b) => a.arrivedAt - b.arrivedAt)) {
      taken.add(job)
      const late = forecast(only(ranked, taken))
      const harmed = [...late].find(([other]) => other === job || !lateBefore.has(other))
      if (harmed === undefined) {
        admitted.push(job)
        continue
      }
      taken.delete(job)
      refused.push({ job, lateByMs: harmed[1] })
    }
    return { admitted, refused, placesForecast }
  }
}

/** Whether all tasks that wait can begin at once: then nothing has to be worked out. */
function hasRoomForAll({ ranked, places }: AdmissionInput): boolean {
  return waitingTasks(ranked) <= places.free
}

function waitingTasks(jobs: readonly Job[]): number {
  let sum = 0
  for (const job of jobs) sum += job.waiting.length
  return sum
}

/** The jobs that would get their last place too late, and by how much. */
function forecastLate(
  now: number,
  ranked: readonly Job[],
  { places }: AdmissionInput,
): Map<Job, number> {
  const forecast = new PlaceForecast(places.all())
  const late = new Map<Job, number>()
  for (const job of ranked) {
    let lastStartAt = now
    for (const task of job.waiting) lastStartAt = forecast.take(now, job.runMs(task))
    const lateByMs = lastStartAt - latestStart(job, job.remainingMs())
    // What can begin at once loses nothing by it, late as it is.
    if (lateByMs > tolerance(now, job) && lastStartAt > now) late.set(job, lateByMs)
  }
  return late
}

/** How late a job may seem to start while it is taken in all the same, in milliseconds. */
function tolerance(now: number, { arrivedAt, objectiveAt }: Job): number {
  const objectiveMs = objectiveAt - arrivedAt
  const age = Math.min(1, (now - arrivedAt) / (EARLY_SHARE * objectiveMs))
  return objectiveMs * (DOOR_TOLERANCE + (LAST_TOLERANCE - DOOR_TOLERANCE) * age)
}

function only(ranked: readonly Job[], taken: ReadonlySet<Job>): readonly Job[] {
  return ranked.filter((job) => taken.has(job))
}

function mayStillRefuse(now: number, job: Job): boolean {
  const { arrivedAt, objectiveAt, hasStarted } = job
  return !hasStarted && now - arrivedAt <= EARLY_SHARE * (objectiveAt - arrivedAt)
}
