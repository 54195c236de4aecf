import type { Job } from '../jobs/Job'
import { JobAdmission } from './JobAdmission'
import type { AdmissionDecision, AdmissionInput } from './JobAdmission'
import { AdmissionSimulation } from './AdmissionSimulation'
import type { LateOutcomes } from './LateOutcomes'
import { LateService, refuseCandidate } from './LateService'
import type { LateCandidate, LateServiceDecision } from './LateService'
import { SlotForecast } from './SlotForecast'

/**
 * Share of a job's objective during which an admitted job can still be refused if slots are lost:
 * that early, its caller can still go to another service.
 */
const REFUSAL_WINDOW_SHARE = 0.2
/**
 * Shares of its objective by which a job's forecast start may be too late, on arrival and at the
 * last moment at which it can be refused. Slots become free earlier or later than estimated; with
 * less tolerance, more jobs are refused that could have been served in time.
 */
const ARRIVAL_TOLERANCE = 0.4
const FINAL_TOLERANCE = 0.2

/** @public */
export interface ForecastAdmissionOptions {
  /**
   * Outcomes of late service; with them, a job that can't be in time may be served late, in slots
   * that others leave.
   */
  readonly lateOutcomes?: LateOutcomes
}

/**
 * Admission control for overload: forecasts which new jobs will get slots in time, so that other
 * jobs are refused on arrival rather than at their deadline. A new job is refused if it would start
 * too late itself, or would make a job late that was admitted before it. With late service, it is
 * refused only if it would also end too late to be useful in the slots that others leave.
 *
 * @public
 */
export class ForecastAdmission extends JobAdmission {
  readonly #forecast = new SlotForecast()
  readonly #lateService: LateService | undefined

  constructor({ lateOutcomes }: ForecastAdmissionOptions = {}) {
    super()
    if (lateOutcomes !== undefined) this.#lateService = new LateService(lateOutcomes)
  }

  override decide(now: number, input: AdmissionInput): AdmissionDecision {
    const { undecided, waitingTasks, slots } = input
    const all = { admitted: undecided, refused: [], late: [] }
    const isForAll = waitingTasks <= slots.countFree(waitingTasks)
    if (isForAll && !isHeadroomLeft(input)) return { ...all, slotsSimulated: 0 }
    const toleranceOf = (job: Job): number => toleranceMs(now, job)
    const simulation = new AdmissionSimulation(now, input, toleranceOf, this.#forecast)
    if (
      undecided.length > 1 &&
      !(input.isReview && simulation.lateRows.length > 0) &&
      simulation.findLate().size === 0
    ) {
      return { ...all, slotsSimulated: simulation.slotsAssigned }
    }
    const rows = simulation.undecidedRows()
    for (const row of rows) simulation.setExcluded(row, true)
    const candidates = this.#findFallenBehind(now, simulation)
    const admitted: Job[] = []
    for (const row of rows) {
      simulation.setExcluded(row, false)
      const lateByMs = simulation.latenessCausedBy(row)
      if (lateByMs === undefined) {
        admitted.push(simulation.jobAt(row))
        continue
      }
      simulation.setExcluded(row, true)
      candidates.push({ row, lateByMs })
    }
    const decision = this.#decideLate(now, simulation, candidates, input)
    return { admitted, ...decision, slotsSimulated: simulation.slotsAssigned }
  }

  /** Excludes admitted jobs that would now start too late, while they can still be refused. */
  #findFallenBehind(now: number, simulation: AdmissionSimulation): LateCandidate[] {
    const fallenBehind: LateCandidate[] = []
    for (const [row, lateByMs] of simulation.findLate()) {
      simulation.markLateRegardless(row)
      const job = simulation.jobAt(row)
      const isOver =
        this.#lateService !== undefined && !job.hasStarted && simulation.isPastLatestStart(row)
      if (!isOver && !isRefusable(now, job)) continue
      simulation.setExcluded(row, true)
      fallenBehind.push({ row, lateByMs })
    }
    return fallenBehind
  }

  #decideLate(
    now: number,
    simulation: AdmissionSimulation,
    candidates: readonly LateCandidate[],
    { slots, isReview }: AdmissionInput,
  ): LateServiceDecision {
    if (this.#lateService !== undefined) {
      return this.#lateService.decide(now, simulation, candidates, { slots: slots.size, isReview })
    }
    const refused = candidates.map((one) => refuseCandidate(simulation, one))
    return { late: [], refused }
  }
}

/** Whether some jobs leave free slots to others, so that they may wait although all would fit. */
function isHeadroomLeft({ ranked, beyondShare, headroomSlots }: AdmissionInput): boolean {
  if (beyondShare.size > 0) return true
  return ranked.some((job) => job.lateSince !== undefined && headroomSlots(job) > 0)
}

/** By how many milliseconds a job's forecast start may be too late without a refusal. */
function toleranceMs(now: number, { arrivedAt, objectiveAt }: Job): number {
  const objectiveMs = objectiveAt - arrivedAt
  const age = Math.min(1, (now - arrivedAt) / (REFUSAL_WINDOW_SHARE * objectiveMs))
  return objectiveMs * (ARRIVAL_TOLERANCE + (FINAL_TOLERANCE - ARRIVAL_TOLERANCE) * age)
}

function isRefusable(now: number, job: Job): boolean {
  const { arrivedAt, objectiveAt, hasStarted } = job
  return !hasStarted && now - arrivedAt <= REFUSAL_WINDOW_SHARE * (objectiveAt - arrivedAt)
}
