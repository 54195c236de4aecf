import { DecayedSum } from '../util/DecayedSum'
import { quantile } from '../util/quantile'

/** One task that ran to its end. @public */
export interface RunSeen {
  readonly endpoint: string
  readonly service: string
  readonly estimateMs: number
  readonly runMs: number
}

/** @public */
export interface SlownessTrackerOptions {
  /** Age at which a run counts 1/e, in milliseconds; an endpoint left alone is tried again. */
  readonly tauMs: number
  /** Runs that the assumption "as fast as its peers" is worth. */
  readonly priorRuns: number
  /** How long the peers' median is reused, in milliseconds. */
  readonly medianReuseMs: number
}

/** Measured in `docs/design/placement.md`. @public */
export const defaultSlownessTrackerOptions: SlownessTrackerOptions = {
  tauMs: 30_000,
  priorRuns: 4,
  medianReuseMs: 100,
}

/** One run counts as at most this many times slower or faster than its estimate, as a logarithm. */
const MAX_LOG_RATIO = 3
/** Endpoints with fewer recent runs do not count among the peers. */
const MIN_RUNS = 2

interface Speed {
  readonly service: string
  readonly runs: DecayedSum
  readonly logRatios: DecayedSum
}

interface PeerMedian {
  readonly at: number
  readonly log: number
}

/**
 * Measures how slow each endpoint is against its peers of the same service.
 *
 * Each run counts by its ratio to the task's estimate, so that an endpoint which happened to get
 * long tasks is not taken for a slow one; a fault common to all estimates cancels out, since the
 * median of the peers is 1 by definition.
 *
 * @public
 */
export class SlownessTracker {
  private readonly options: SlownessTrackerOptions
  private readonly speeds = new Map<string, Speed>()
  private readonly medians = new Map<string, PeerMedian>()

  constructor(options: Partial<SlownessTrackerOptions> = {}) {
    this.options = { ...defaultSlownessTrackerOptions, ...options }
  }

  observe(now: number, { endpoint, service, estimateMs, runMs }: RunSeen): void {
    if (estimateMs <= 0 || runMs <= 0) return
    const ratio = Math.log(runMs / estimateMs)
    const clipped = Math.min(MAX_LOG_RATIO, Math.max(-MAX_LOG_RATIO, ratio))
    const speed = this.speedOf(endpoint, service)
    speed.runs.add(now, 1)
    speed.logRatios.add(now, clipped)
  }

  /** Run times here over those of the same work at its peers; 1 when nothing is known. */
  slowness(now: number, endpoint: string): number {
    const speed = this.speeds.get(endpoint)
    if (speed === undefined) return 1
    const runs = speed.runs.read(now)
    if (runs <= 0) return 1
    const log = speed.logRatios.read(now) / runs - this.medianOf(now, speed.service)
    return Math.exp((log * runs) / (runs + this.options.priorRuns))
  }

  remove(endpoint: string): void {
    const service = this.speeds.get(endpoint)?.service
    this.speeds.delete(endpoint)
    if (service !== undefined) this.medians.delete(service)
  }

  private speedOf(endpoint: string, service: string): Speed {
    const known = this.speeds.get(endpoint)
    if (known?.service === service) return known
    const { tauMs } = this.options
    const speed = { service, runs: new DecayedSum(tauMs), logRatios: new DecayedSum(tauMs) }
    this.speeds.set(endpoint, speed)
    return speed
  }

  /** Median of the peers' mean logarithms; of two, the faster one's. */
  private medianOf(now: number, service: string): number {
    const known = this.medians.get(service)
    if (known !== undefined && now - known.at < this.options.medianReuseMs) return known.log
    const logs: number[] = []
    for (const speed of this.speeds.values()) {
      const runs = speed.runs.read(now)
      if (speed.service === service && runs >= MIN_RUNS) logs.push(speed.logRatios.read(now) / runs)
    }
    const log = quantile(logs, (logs.length - 1) / 2 / Math.max(1, logs.length)) ?? 0
    this.medians.set(service, { at: now, log })
    return log
  }
}
