import { quantile } from '../util/quantile'
import { EVEN_SPREAD } from './EndpointSpeeds'
import type { SpeedSpread } from './EndpointSpeeds'

/** The mean log ratio of one endpoint's own runs, and how sure it is. @internal */
export interface OwnSpeed {
  /** Label that it shares with the most peers; empty when it has none. */
  readonly kind: string
  readonly logRatio: number
  /** Inverse of the variance of `logRatio`; 0 without runs. */
  readonly weight: number
}

/** The expected speed of an endpoint before its own runs count, as a logarithm. @internal */
export interface SpeedPrior {
  readonly log: number
  readonly variance: number
}

/**
 * Endpoints of one service differ in speed once the run times at its slow ones exceed those at its
 * fast ones by the first ratio, until they exceed them by less than the second. Ratios of up to 1.6
 * are common among machines of one generation, and the estimates of run times are no better.
 */
const UNEVEN_FROM = 1.75
const UNEVEN_UNTIL = 1.5
/** Shares of the endpoints that are faster than a fast one and a slow one. */
const FAST_SHARE = 0.2
const SLOW_SHARE = 0.8
/** Distance of these two quantiles of a normal distribution, in standard deviations. */
const QUANTILE_DEVIATIONS = 1.68
/** Weight from which the speed of an endpoint is known to about a quarter. */
const KNOWN_WEIGHT = 15
/** The spread isn't measured with fewer known endpoints, or with a smaller share of them. */
const MIN_KNOWN = 6
const MIN_KNOWN_SHARE = 1 / 3
/** Variance between endpoints before any of them is known, and the least one. */
const INITIAL_VARIANCE = 0.1
const MIN_VARIANCE = 0.01
/** Number of endpoints that a prior of a variance or of the mean of a kind counts for. */
const PRIOR_ENDPOINTS = 2
/** Limit of the logarithm of a single endpoint's speed in means and variances. */
const MAX_LOG = 1.5

/** An endpoint's own speed with the share by which it counts, 0 to 1. */
interface CountedSpeed extends OwnSpeed {
  readonly share: number
}

/**
 * How the speeds of the endpoints of one service are distributed, over all of them and within each
 * kind. The less they differ, the less an endpoint's own few runs count.
 *
 * @internal
 */
export class SpeedModel {
  /** Mean of the log ratios of the endpoints; speeds are relative to it. */
  readonly level: number
  readonly spread: SpeedSpread
  private readonly all: SpeedPrior
  private readonly kinds = new Map<string, SpeedPrior>()

  /** @param wasUneven - whether the endpoints differed much in speed so far */
  constructor(speeds: readonly OwnSpeed[], wasUneven: boolean) {
    const counted = speeds.filter(({ weight }) => weight > 0).map(countSpeed)
    this.level = meanOf(counted, 0)
    this.all = { log: 0, variance: varianceOf(counted, this.level, INITIAL_VARIANCE) }
    for (const [kind, members] of groupByKind(counted)) {
      const log = meanOf(members, PRIOR_ENDPOINTS, this.level) - this.level
      const variance = varianceOf(members, this.level + log, this.all.variance)
      this.kinds.set(kind, { log, variance })
    }
    this.spread = measureSpread(speeds, wasUneven)
  }

  /** Expected speed of an endpoint of a kind, relative to the level. */
  priorOf(kind: string): SpeedPrior {
    return this.kinds.get(kind) ?? this.all
  }
}

function countSpeed(speed: OwnSpeed): CountedSpeed {
  const { weight, logRatio } = speed
  const clipped = Math.min(MAX_LOG, Math.max(-MAX_LOG, logRatio))
  return { ...speed, logRatio: clipped, share: weight / (weight + 1 / INITIAL_VARIANCE) }
}

function meanOf(speeds: readonly CountedSpeed[], priorCount: number, prior = 0): number {
  let count = priorCount
  let sum = priorCount * prior
  for (const { share, logRatio } of speeds) {
    count += share
    sum += share * logRatio
  }
  return count > 0 ? sum / count : 0
}

/** Variance of the speeds around a mean, without the part that is due to their uncertainty. */
function varianceOf(speeds: readonly CountedSpeed[], mean: number, prior: number): number {
  let count = PRIOR_ENDPOINTS
  let sum = PRIOR_ENDPOINTS * prior
  for (const { share, logRatio, weight } of speeds) {
    count += share
    sum += share * ((logRatio - mean) ** 2 - 1 / weight)
  }
  return Math.max(MIN_VARIANCE, sum / count)
}

function groupByKind(speeds: readonly CountedSpeed[]): Map<string, CountedSpeed[]> {
  const groups = new Map<string, CountedSpeed[]>()
  for (const speed of speeds) {
    const members = groups.get(speed.kind)
    if (members === undefined) groups.set(speed.kind, [speed])
    else members.push(speed)
  }
  return groups
}

function measureSpread(speeds: readonly OwnSpeed[], wasUneven: boolean): SpeedSpread {
  const known = speeds.filter(({ weight }) => weight >= KNOWN_WEIGHT)
  const isMeasured = known.length >= Math.max(MIN_KNOWN, MIN_KNOWN_SHARE * speeds.length)
  if (!isMeasured) return { ...EVEN_SPREAD, isUneven: wasUneven }
  const logs = known.map(({ logRatio }) => logRatio)
  const distance = (quantile(logs, SLOW_SHARE) ?? 0) - (quantile(logs, FAST_SHARE) ?? 0)
  const noise = known.reduce((sum, { weight }) => sum + 1 / weight, 0) / known.length
  const square = distance ** 2 - QUANTILE_DEVIATIONS ** 2 * noise
  const slowToFast = Math.exp(Math.sqrt(Math.max(0, square)))
  return { slowToFast, isUneven: slowToFast >= (wasUneven ? UNEVEN_UNTIL : UNEVEN_FROM) }
}
