/** Weight of a new sample in the mean and in the deviation: those of TCP (RFC 6298). */
const MEAN_WEIGHT = 1 / 8
const DEVIATION_WEIGHT = 1 / 4
/** Deviations above the mean after which an answer counts as lost: that of TCP as well. */
const DEVIATIONS = 4

/** Between which an answer is waited for, in milliseconds. @internal */
export interface RoundTripBounds {
  readonly minMs: number
  readonly maxMs: number
}

/** How long an endpoint takes to answer orders that it answers at once. @internal */
export class RoundTrip {
  #meanMs: number | undefined
  #deviationMs = 0

  constructor(private readonly bounds: RoundTripBounds) {}

  note(ms: number): void {
    if (this.#meanMs === undefined) {
      this.#meanMs = ms
      this.#deviationMs = ms / 2
      return
    }
    const error = Math.abs(ms - this.#meanMs)
    this.#deviationMs += DEVIATION_WEIGHT * (error - this.#deviationMs)
    this.#meanMs += MEAN_WEIGHT * (ms - this.#meanMs)
  }

  /** An answer that takes longer is taken for lost, in whole milliseconds. */
  get timeoutMs(): number {
    const { minMs, maxMs } = this.bounds
    if (this.#meanMs === undefined) return maxMs
    const ms = this.#meanMs + DEVIATIONS * this.#deviationMs
    return Math.ceil(Math.min(maxMs, Math.max(minMs, ms)))
  }
}
