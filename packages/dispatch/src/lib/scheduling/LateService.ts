import type { Job } from '../jobs/Job'
import type { AdmissionSimulation, SimulationRow } from './AdmissionSimulation'
import type { RefusedJob } from './JobAdmission'
import type { LateOutcomes } from './LateOutcomes'
import { lastUsefulAt } from './lastUsefulAt'

/**
 * Multiple of the forecast wait that must still end in useful time: jobs that arrive later and can
 * be in time go first.
 */
const WAIT_MARGIN_FACTOR = 4
/** Margin for the rest of a job, as a share of its estimate, and for its orders. */
const RUN_MARGIN_SHARE = 0.2
const PATH_MARGIN_MS = 30
/** Upper bound on the waiting tasks of late jobs, as a share of the slots. */
const MAX_WAITING_SHARE = 0.25
/** Late jobs are accepted while at least this share of the recent ones was served. */
const MIN_SERVED_SHARE = 0.5

/** A job that can't be in time, and by how much its start would be too late. @internal */
export interface LateCandidate {
  readonly row: SimulationRow
  readonly lateByMs: number
}

/** @internal */
export interface LateServiceDecision {
  /** Jobs to serve late from now on. */
  readonly late: readonly Job[]
  readonly refused: readonly RefusedJob[]
}

/**
 * Decides which jobs that can't be in time are served late. They get slots that no other job can
 * use, in the order in which they became late, so that none makes another one later.
 *
 * @internal
 */
export class LateService {
  constructor(private readonly outcomes: LateOutcomes) {}

  /**
   * @param slots - number of slots of the service
   * @param isReview - whether jobs that are served late are examined as well
   */
  decide(
    now: number,
    simulation: AdmissionSimulation,
    candidates: readonly LateCandidate[],
    { slots, isReview }: { readonly slots: number; readonly isReview: boolean },
  ): LateServiceDecision {
    const jobOf = ({ row }: LateCandidate): Job => simulation.jobAt(row)
    const possible = new Set(
      candidates.filter((one) => this.#isOpen(now, jobOf(one)) && isUseful(now, jobOf(one), 0)),
    )
    const refused = candidates
      .filter((one) => !possible.has(one))
      .map((one) => refuseCandidate(simulation, one))
    const { lateRows } = simulation
    if (possible.size === 0 && (!isReview || lateRows.length === 0)) return { late: [], refused }
    const waits = simulation.waitsOfLate([...possible].map(({ row }) => row))
    const waitOf = (row: SimulationRow): number => waits.get(row) ?? Infinity
    const late: Job[] = []
    let room = MAX_WAITING_SHARE * slots
    for (const row of lateRows) room -= simulation.jobAt(row).waiting.length
    for (const one of possible) {
      const job = jobOf(one)
      const isAccepted = job.waiting.length <= room && isUseful(now, job, waitOf(one.row))
      if (isAccepted) {
        late.push(job)
        room -= job.waiting.length
      } else {
        refused.push(refuseCandidate(simulation, one))
      }
    }
    const hopeless = isReview ? findHopeless(now, simulation, waitOf) : undefined
    if (hopeless !== undefined) refused.push(hopeless)
    return { late, refused }
  }

  /** Whether enough of the recent late jobs of a job's service were served. */
  #isOpen(now: number, { route }: Job): boolean {
    return this.outcomes.servedShare(now, route.service) >= MIN_SERVED_SHARE
  }
}

/** @internal */
export function refuseCandidate(
  simulation: AdmissionSimulation,
  { row, lateByMs }: LateCandidate,
): RefusedJob {
  return { job: simulation.jobAt(row), lateByMs, isBeyondShare: simulation.isBeyondShare(row) }
}

/** Whether a job would end in useful time, with a margin. */
function isUseful(now: number, job: Job, waitMs: number): boolean {
  const restMs = job.remainingMs() * (1 + RUN_MARGIN_SHARE) + PATH_MARGIN_MS
  return now + WAIT_MARGIN_FACTOR * waitMs + restMs <= lastUsefulAt(job)
}

/**
 * The first late job that would end too late to be useful. Those after it are forecast again
 * without it in the next review.
 */
function findHopeless(
  now: number,
  simulation: AdmissionSimulation,
  waitOf: (row: SimulationRow) => number,
): RefusedJob | undefined {
  for (const row of simulation.lateRows) {
    const job = simulation.jobAt(row)
    const lateByMs = now + waitOf(row) + job.remainingMs() - lastUsefulAt(job)
    if (!job.hasStarted && lateByMs > 0) return refuseCandidate(simulation, { row, lateByMs })
  }
  return undefined
}
