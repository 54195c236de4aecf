import type { VoterTiming } from './VoterOptions'

/** Spaces out the attempts to open a disk that has failed. @internal */
export class ReopenSchedule {
  readonly #timing: VoterTiming
  #delayMs: number
  #dueAt = Infinity

  constructor(timing: VoterTiming) {
    this.#timing = timing
    this.#delayMs = timing.reopenMinMs
  }

  /** Schedules the next attempt; each one waits twice as long as the one before it. */
  onFailure(now: number): void {
    this.#dueAt = now + this.#delayMs
    this.#delayMs = Math.min(2 * this.#delayMs, this.#timing.reopenMaxMs)
  }

  onOpened(): void {
    this.#delayMs = this.#timing.reopenMinMs
  }

  /** True once for each scheduled attempt, when it is due. */
  takeDue(now: number): boolean {
    if (now < this.#dueAt) return false
    this.#dueAt = Infinity
    return true
  }
}
