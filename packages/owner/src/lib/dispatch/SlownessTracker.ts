/** Weight of the newest run time in the moving means. */
const EWMA_WEIGHT = 0.1
/** A straggler that gets no work is not measured: what is known of it halves in this time. */
const FORGET_HALF_LIFE_MS = 30_000
/** Bounds of a ratio, so that one wild declaration does not decide. */
const MAX_LOG_RATIO = Math.log(32)

interface EndpointPace {
  logRatio: number
  at: number
}

/**
 * Compares the run times of endpoints of one service. Each is taken over the estimate of the
 * same task, so that a worker that happens to get long tasks does not look slow; what all
 * estimates have wrong in common cancels out.
 *
 * @internal
 */
export class SlownessTracker {
  private readonly paces = new Map<string, EndpointPace>()
  private meanLogRatio = 0
  private measured = false

  /** Mean of run time over estimate in this service; 1 before anything was measured. */
  get bias(): number {
    return Math.exp(this.meanLogRatio)
  }

  record(now: number, endpoint: string, runMs: number, estimateMs: number): void {
    if (runMs <= 0 || estimateMs <= 0) return
    const logRatio = clamp(Math.log(runMs / estimateMs))
    this.meanLogRatio = this.measured ? mix(this.meanLogRatio, logRatio) : logRatio
    this.measured = true
    const pace = this.paces.get(endpoint)
    if (pace === undefined) this.paces.set(endpoint, { logRatio, at: now })
    else {
      pace.logRatio = mix(pace.logRatio, logRatio)
      pace.at = now
    }
  }

  /** 1 is average, 8 a straggler. */
  slowness(now: number, endpoint: string): number {
    const pace = this.paces.get(endpoint)
    if (pace === undefined) return 1
    const kept = 0.5 ** ((now - pace.at) / FORGET_HALF_LIFE_MS)
    return Math.exp((pace.logRatio - this.meanLogRatio) * kept)
  }

  forget(endpoint: string): void {
    this.paces.delete(endpoint)
  }
}

function mix(mean: number, value: number): number {
  return mean + EWMA_WEIGHT * (value - mean)
}

function clamp(logRatio: number): number {
  return Math.max(-MAX_LOG_RATIO, Math.min(MAX_LOG_RATIO, logRatio))
}
