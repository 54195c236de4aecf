/**
 * Mean step delay above which the limit is lowered, in milliseconds. The delay of a step lasts from
 * the receipt of its first message to its end. A job waits that long on arrival and again for each
 * order and each answer, and even the shortest jobs need four steps within their objective.
 */
const MAX_DELAY_MS = 24
/**
 * Cap on a single delay sample, in milliseconds. After a stall of several seconds, two further slow
 * steps are needed before the limit is lowered.
 */
const DELAY_SAMPLE_CAP_MS = 100
/**
 * Weight of the latest step in the moving averages. It is low because a single pause, such as a
 * garbage collection, is not an overload.
 */
const SMOOTHING_FACTOR = 1 / 8
/** Factors applied to the limit after each step: during an overload, and after it. */
const DECREASE_FACTOR = 0.9
const INCREASE_FACTOR = 1.03
/** At this value the limit is off: fewer jobs arrive in one step, even after a pause. */
const UNLIMITED_JOBS_PER_STEP = 500

/**
 * Adaptive limit on the number of new jobs that an instance admits per step (load shedding).
 *
 * Without it, an instance with more work than processor time falls further and further behind:
 * all admitted jobs finish late, and leases are renewed late. Excess jobs are refused before any
 * work is done on them, which leaves the processor time to the admitted ones.
 *
 * The limit reacts to the load on the instance's own processor, independently of the capacity of
 * the endpoints.
 *
 * @internal
 */
export class IntakeLimit {
  #limit = UNLIMITED_JOBS_PER_STEP
  #admitted = 0
  #meanAdmitted = 0
  #meanDelayMs = 0

  /** Whether one more job may be admitted in this step. If so, it is counted. */
  admit(): boolean {
    if (this.isBinding && this.#admitted >= Math.max(1, Math.floor(this.#limit))) return false
    this.#admitted++
    return true
  }

  /** True while the limit is on, so that jobs may be refused. */
  get isBinding(): boolean {
    return this.#limit < UNLIMITED_JOBS_PER_STEP
  }

  /**
   * Updates the limit at the end of a step.
   *
   * @param delayMs - time since the first message of the step was received, in milliseconds
   */
  recordStep(delayMs: number): void {
    this.#meanDelayMs +=
      (Math.min(delayMs, DELAY_SAMPLE_CAP_MS) - this.#meanDelayMs) * SMOOTHING_FACTOR
    this.#meanAdmitted += (this.#admitted - this.#meanAdmitted) * SMOOTHING_FACTOR
    this.#admitted = 0
    if (this.#meanDelayMs > MAX_DELAY_MS) {
      this.#limit = Math.max(1, Math.min(this.#limit, this.#meanAdmitted) * DECREASE_FACTOR)
    } else if (this.isBinding) {
      this.#limit = Math.min(UNLIMITED_JOBS_PER_STEP, this.#limit * INCREASE_FACTOR)
    }
  }
}
