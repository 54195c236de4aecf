import type { ModelSample } from './RunTimeSample'

/** Number of observations after which the mean becomes an exponential moving average. */
const WINDOW = 50
/** Observations are clipped to this many deviations from the mean. */
const CLIP_DEVIATIONS = 2.5
/** Deviation of log run times before any observation: a factor of about two. */
const INITIAL_DEVIATION = 0.8
/** Lower bound of the deviation, so that clipping does not stop the model from adapting. */
const MIN_DEVIATION = 0.2

/**
 * Mean and deviation of a quantity in log space. Observations are clipped, so that outliers have
 * little effect, and the weight of old ones decays.
 *
 * @internal
 */
export class RunTimeModel {
  private observations = 0
  private meanLog = 0
  private variance = INITIAL_DEVIATION ** 2

  get count(): number {
    return this.observations
  }

  get deviation(): number {
    return Math.max(MIN_DEVIATION, Math.sqrt(this.variance))
  }

  /** Mean of the logarithms. */
  get center(): number {
    return this.meanLog
  }

  get sample(): ModelSample {
    return { count: this.observations, center: this.meanLog, variance: this.variance }
  }

  /** Continues from the state of another model, with a weight of its own. */
  restore({ center, variance }: ModelSample, count: number): void {
    this.observations = count
    this.meanLog = center
    this.variance = variance
  }

  observe(log: number): void {
    this.observations = Math.min(WINDOW, this.observations + 1)
    if (this.observations === 1) {
      this.meanLog = log
      return
    }
    const limit = CLIP_DEVIATIONS * this.deviation
    const error = Math.min(limit, Math.max(-limit, log - this.meanLog))
    this.meanLog += error / this.observations
    this.variance += (error ** 2 - this.variance) / this.observations
  }
}
