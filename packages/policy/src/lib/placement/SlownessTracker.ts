import { DecayedSum } from '../util/DecayedSum'
import { quantile } from '../util/quantile'
import { EndpointSpeeds } from './EndpointSpeeds'
import type { EndpointSpeedSample, RunObservation } from './EndpointSpeeds'

/** @public */
export interface SlownessTrackerOptions {
  /**
   * Age at which the weight of a run has decayed to 1/e, in milliseconds. The decay lets an
   * endpoint that was avoided as slow be tried again.
   */
  readonly tauMs: number
  /** Weight of the prior that an endpoint is as fast as its peers, as a number of runs. */
  readonly priorRuns: number
  /** How long the median of the peers is cached, in milliseconds. */
  readonly medianReuseMs: number
}

/** See `docs/design/placement.md` for the measurements behind the defaults. @public */
export const defaultSlownessTrackerOptions: SlownessTrackerOptions = {
  tauMs: 30_000,
  priorRuns: 4,
  medianReuseMs: 100,
}

/** Limit of the ratio of a run time to its estimate, in either direction, as a logarithm. */
const MAX_LOG_RATIO = 3
/** Endpoints with fewer recent runs are left out of the median. */
const MIN_RUNS = 2

interface EndpointSpeed {
  readonly service: string
  readonly runs: DecayedSum
  readonly logRatios: DecayedSum
}

interface PeerMedian {
  readonly at: number
  readonly logRatio: number
}

/**
 * Measures how slow each endpoint is compared with its peers of the same service.
 *
 * Each run is measured as the ratio of its run time to the task's estimate, so that an endpoint
 * that happened to get long tasks does not appear slow. An error common to all estimates cancels
 * out, because slowness is relative to the median of the peers, which is 1 by definition.
 *
 * @public
 */
export class SlownessTracker extends EndpointSpeeds {
  private readonly options: SlownessTrackerOptions
  private readonly speeds = new Map<string, EndpointSpeed>()
  private readonly medians = new Map<string, PeerMedian>()

  constructor(options: Partial<SlownessTrackerOptions> = {}) {
    super()
    this.options = { ...defaultSlownessTrackerOptions, ...options }
  }

  override observe(now: number, { endpoint, service, estimateMs, runMs }: RunObservation): void {
    if (estimateMs <= 0 || runMs <= 0) return
    const ratio = Math.log(runMs / estimateMs)
    const clipped = Math.min(MAX_LOG_RATIO, Math.max(-MAX_LOG_RATIO, ratio))
    const speed = this.speedOf(endpoint, service)
    speed.runs.add(now, 1)
    speed.logRatios.add(now, clipped)
  }

  override slowness(now: number, endpoint: string): number {
    const speed = this.speeds.get(endpoint)
    if (speed === undefined) return 1
    const runs = speed.runs.read(now)
    if (runs <= 0) return 1
    const logRatio = speed.logRatios.read(now) / runs - this.medianOf(now, speed.service)
    return Math.exp((logRatio * runs) / (runs + this.options.priorRuns))
  }

  override remove(endpoint: string): void {
    const service = this.speeds.get(endpoint)?.service
    this.speeds.delete(endpoint)
    if (service !== undefined) this.medians.delete(service)
  }

  override snapshot(now: number): readonly EndpointSpeedSample[] {
    return [...this.speeds].flatMap(([endpoint, { service, runs: sum, logRatios }]) => {
      const runs = sum.read(now)
      return runs > 0 ? [{ endpoint, service, runs, logRatio: logRatios.read(now) / runs }] : []
    })
  }

  override merge(now: number, samples: readonly EndpointSpeedSample[]): void {
    for (const { endpoint, service, runs, logRatio } of samples) {
      const known = this.speeds.get(endpoint)
      if (known?.service === service && known.runs.read(now) >= runs) continue
      this.speeds.delete(endpoint)
      const speed = this.speedOf(endpoint, service)
      speed.runs.add(now, runs)
      speed.logRatios.add(now, runs * logRatio)
    }
  }

  private speedOf(endpoint: string, service: string): EndpointSpeed {
    const known = this.speeds.get(endpoint)
    if (known?.service === service) return known
    const { tauMs } = this.options
    const speed = { service, runs: new DecayedSum(tauMs), logRatios: new DecayedSum(tauMs) }
    this.speeds.set(endpoint, speed)
    return speed
  }

  /** Median of the peers' mean log ratios; of two peers, the lower one. */
  private medianOf(now: number, service: string): number {
    const known = this.medians.get(service)
    if (known !== undefined && now - known.at < this.options.medianReuseMs) return known.logRatio
    const logs: number[] = []
    for (const speed of this.speeds.values()) {
      const runs = speed.runs.read(now)
      if (speed.service === service && runs >= MIN_RUNS) logs.push(speed.logRatios.read(now) / runs)
    }
    const logRatio = quantile(logs, (logs.length - 1) / 2 / Math.max(1, logs.length)) ?? 0
    this.medians.set(service, { at: now, logRatio })
    return logRatio
  }
}
