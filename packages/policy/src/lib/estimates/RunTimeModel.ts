/** Observations after which older ones fade. */
const MEMORY = 50
/** Observations beyond this many deviations are moved to there before they are learnt. */
const CLIP_DEVIATIONS = 2.5
/** Deviation of log run times before anything was seen: a factor of about two. */
const INITIAL_DEVIATION = 0.8
/** A model never takes itself for better than this, so that it can follow a change. */
const MIN_DEVIATION = 0.2

/**
 * Mean and spread of a quantity in log space, robust against outliers: each observation is
 * clipped, and old ones fade.
 *
 * @internal
 */
export class RunTimeModel {
  private seen = 0
  private meanLog = 0
  private variance = INITIAL_DEVIATION ** 2

  get count(): number {
    return this.seen
  }

  get deviation(): number {
    return Math.max(MIN_DEVIATION, Math.sqrt(this.variance))
  }

  /** Mean of the logarithms. */
  get center(): number {
    return this.meanLog
  }

  observe(log: number): void {
    this.seen = Math.min(MEMORY, this.seen + 1)
    if (this.seen === 1) {
      this.meanLog = log
      return
    }
    const limit = CLIP_DEVIATIONS * this.deviation
    const error = Math.min(limit, Math.max(-limit, log - this.meanLog))
    this.meanLog += error / this.seen
    this.variance += (error ** 2 - this.variance) / this.seen
  }
}
