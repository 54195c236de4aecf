/**
 * How far a step may lie behind, in milliseconds: from when its first message came until it is over.
 * What a leader takes in waits so long for its turn, and then once more for each order and each
 * answer, and even the shortest jobs have to get through four steps in time.
 */
const MOST_BEHIND_MS = 24
/**
 * A step counts as no further behind than this, in milliseconds: after a standstill of seconds, two
 * steps more have to show that there is still too little time.
 */
const MOST_NOTED_MS = 100
/**
 * Weight of the last step in what is taken for the present state: a single pause, such as a collection of
 * garbage, is no lack of time.
 */
const WEIGHT = 1 / 8
/** Factors on the limit, a step: while the instance is behind, and when it isn't any more. */
const FALL = 0.9
const RISE = 1.03
/** From here on there is no limit: fewer jobs than these come in one step, also after a pause. */
const NO_LIMIT = 500

/**
 * How many new jobs an instance takes in with one step. One that needs more time than it has would
 * fall behind ever more: all that it took in would come late, and so would the leases that it
 * renews. It refuses at once what it has no time for, before any work on it, and keeps its time for what it has
 * taken in.
 *
 * It answers a load above what the instance's processor can do, whatever the endpoints could.
 *
 * @internal
 */
export class IntakeLimit {
  #limit = NO_LIMIT
  #taken = 0
  #meanTaken = 0
  #meanBehindMs = 0

  /** Whether one more job may be taken in with this step. */
  admit(): boolean {
    if (this.isBinding && this.#taken >= Math.max(1, Math.floor(this.#limit))) return false
    this.#taken++
    return true
  }

  /** True while jobs may be refused. */
  get isBinding(): boolean {
    return this.#limit < NO_LIMIT
  }

  /** A step is over; its first message came so long before. */
  noteStep(behindMs: number): void {
    this.#meanBehindMs += (Math.min(behindMs, MOST_NOTED_MS) - this.#meanBehindMs) * WEIGHT
    this.#meanTaken += (this.#taken - this.#meanTaken) * WEIGHT
    this.#taken = 0
    if (this.#meanBehindMs > MOST_BEHIND_MS) {
      this.#limit = Math.max(1, Math.min(this.#limit, this.#meanTaken) * FALL)
    } else if (this.isBinding) {
      this.#limit = Math.min(NO_LIMIT, this.#limit * RISE)
    }
  }
}
