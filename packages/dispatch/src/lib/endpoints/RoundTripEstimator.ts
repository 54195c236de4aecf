/** Weights of a new sample in the mean and in the deviation, as in TCP (RFC 6298). */
const MEAN_WEIGHT = 1 / 8
const DEVIATION_WEIGHT = 1 / 4
/** Deviations above the mean after which an answer counts as lost, also as in TCP. */
const TIMEOUT_DEVIATIONS = 4

/** Lower and upper bound of the timeout, in milliseconds. @internal */
export interface TimeoutBounds {
  readonly minMs: number
  readonly maxMs: number
}

/** Estimates the round-trip time of orders that an endpoint answers immediately. @internal */
export class RoundTripEstimator {
  #meanMs: number | undefined
  #deviationMs = 0

  constructor(private readonly bounds: TimeoutBounds) {}

  addSample(ms: number): void {
    if (this.#meanMs === undefined) {
      this.#meanMs = ms
      this.#deviationMs = ms / 2
      return
    }
    const error = Math.abs(ms - this.#meanMs)
    this.#deviationMs += DEVIATION_WEIGHT * (error - this.#deviationMs)
    this.#meanMs += MEAN_WEIGHT * (ms - this.#meanMs)
  }

  /** Time after which an answer counts as lost, in whole milliseconds. */
  get timeoutMs(): number {
    const { minMs, maxMs } = this.bounds
    if (this.#meanMs === undefined) return maxMs
    const ms = this.#meanMs + TIMEOUT_DEVIATIONS * this.#deviationMs
    return Math.ceil(Math.min(maxMs, Math.max(minMs, ms)))
  }
}
