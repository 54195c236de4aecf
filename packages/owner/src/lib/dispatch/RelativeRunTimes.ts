/** Weight of the latest run in the moving averages. */
const EWMA_WEIGHT = 0.1
/** Half-life of a measured slowness, since a straggler that gets no work is not measured again. */
const DECAY_HALF_LIFE_MS = 30_000
/** Limit of a ratio in either direction, so that one far-off estimate does not dominate. */
const MAX_ABS_LOG_RATIO = Math.log(32)

interface EndpointRatio {
  logRatio: number
  at: number
}

/**
 * Compares the run times of the endpoints of one service. Each run time is divided by the estimate
 * of its task, so that an endpoint that happens to get long tasks does not appear slow. An error
 * common to all estimates cancels out.
 *
 * @internal
 */
export class RelativeRunTimes {
  private readonly ratios = new Map<string, EndpointRatio>()
  private meanLogRatio = 0
  private hasObservations = false

  /** Mean ratio of run time to estimate in this service; 1 before the first observation. */
  get bias(): number {
    return Math.exp(this.meanLogRatio)
  }

  observe(now: number, endpoint: string, runMs: number, estimateMs: number): void {
    if (runMs <= 0 || estimateMs <= 0) return
    const logRatio = clamp(Math.log(runMs / estimateMs))
    this.meanLogRatio = this.hasObservations ? updateEwma(this.meanLogRatio, logRatio) : logRatio
    this.hasObservations = true
    const ratio = this.ratios.get(endpoint)
    if (ratio === undefined) this.ratios.set(endpoint, { logRatio, at: now })
    else {
      ratio.logRatio = updateEwma(ratio.logRatio, logRatio)
      ratio.at = now
    }
  }

  /** Ratio of run times here to the mean of the service; 1 is average, 8 a straggler. */
  slowness(now: number, endpoint: string): number {
    const ratio = this.ratios.get(endpoint)
    if (ratio === undefined) return 1
    const kept = 0.5 ** ((now - ratio.at) / DECAY_HALF_LIFE_MS)
    return Math.exp((ratio.logRatio - this.meanLogRatio) * kept)
  }

  remove(endpoint: string): void {
    this.ratios.delete(endpoint)
  }
}

function updateEwma(mean: number, value: number): number {
  return mean + EWMA_WEIGHT * (value - mean)
}

function clamp(logRatio: number): number {
  return Math.max(-MAX_ABS_LOG_RATIO, Math.min(MAX_ABS_LOG_RATIO, logRatio))
}
