import { DecayedSum } from '../util/DecayedSum'
import { LruMap } from '../util/LruMap'
import { EndpointSpeeds, EVEN_SPREAD } from './EndpointSpeeds'
import type {
  EndpointSpeedSample,
  EndpointTraits,
  RunObservation,
  SpeedSpread,
} from './EndpointSpeeds'
import { JobRuns } from './JobRuns'
import type { FinishedRun } from './JobRuns'
import { SlownessTracker } from './SlownessTracker'
import { SpeedModel } from './SpeedModel'

/** @public */
export interface PooledSpeedsOptions {
  /** Age at which the weight of a run has decayed to 1/e, in milliseconds. */
  readonly tauMs: number
  /** How long the distribution of the speeds of a service is cached, in milliseconds. */
  readonly modelReuseMs: number
  /** Machines whose speeds are kept; the least recently used ones are evicted. */
  readonly maxMachines: number
}

/** See `docs/design/uneven-endpoints.md`. @public */
export const defaultPooledSpeedsOptions: PooledSpeedsOptions = {
  tauMs: 30_000,
  modelReuseMs: 100,
  maxMachines: 10_000,
}

/** Variance of the logarithm by which the estimate for a whole job is off. */
const JOB_VARIANCE = 0.25
/** Variance of the logarithms of run times within a job, with the delay until an end is noticed. */
const TASK_VARIANCE = 0.04
/** Run times further than this many deviations from the expected one are clipped. */
const CLIP_DEVIATIONS = 2.5
/** Factor on the weight of earlier runs once two runs in a row were clipped on the same side. */
const SURPRISE_FACTOR = 0.3
/**
 * Limit of the weight of one run: the error of a job's estimate can't be told from the speed that
 * all endpoints of its runs have in common.
 */
const MAX_RUN_WEIGHT = 6
/** Limit of the weight of all runs at a machine, so that early errors are soon forgotten. */
const MAX_WEIGHT = 100
/** Variance of a machine's speed when nothing is known of its peers. */
const OWN_PRIOR_VARIANCE = 0.25
/** Weight of a run that another instance observed. */
const MERGED_RUN_WEIGHT = 4

/** What the runs at one machine tell of its speed. */
interface MachineSpeed {
  readonly service: string
  readonly weight: DecayedSum
  readonly logRatios: DecayedSum
  /** Side on which the latest run was clipped; 0 when it was not. */
  clippedSide: number
}

/** A logarithm of slowness, and its variance. */
interface SpeedEstimate {
  readonly log: number
  readonly variance: number
}

interface TimedModel {
  readonly at: number
  readonly model: SpeedModel
}

/**
 * Learns the speeds of endpoints that differ much, from few runs. An endpoint's own runs are shrunk
 * towards those of the endpoints that share a label with it, and these towards the mean of the
 * service; the measured variances decide by how much. Run times are compared with those of other
 * tasks of the same job, so that a wrong estimate isn't taken for a slow endpoint.
 *
 * Where endpoints don't differ much, the values are those of a `SlownessTracker`. What is known
 * belongs to the machine and outlives its incarnations.
 *
 * @public
 */
export class PooledSpeeds extends EndpointSpeeds {
  private readonly options: PooledSpeedsOptions
  private readonly tracker: SlownessTracker
  private readonly jobs = new JobRuns()
  private readonly traits = new Map<string, EndpointTraits>()
  private readonly machines: LruMap<string, MachineSpeed>
  private readonly models = new Map<string, TimedModel>()
  /** Label that each endpoint shares with the most peers, as of the latest model. */
  private readonly kinds = new Map<string, string>()

  constructor(options: Partial<PooledSpeedsOptions> = {}) {
    super()
    this.options = { ...defaultPooledSpeedsOptions, ...options }
    this.tracker = new SlownessTracker({ tauMs: this.options.tauMs })
    this.machines = new LruMap(this.options.maxMachines)
  }

  override describe(endpoint: string, traits: EndpointTraits): void {
    const isUnknown = !this.traits.has(endpoint)
    this.traits.set(endpoint, traits)
    const early = isUnknown ? this.machines.get(endpoint) : undefined
    if (early === undefined || endpoint === traits.machine) return
    this.machines.delete(endpoint)
    if (this.machines.get(traits.machine) === undefined) this.machines.set(traits.machine, early)
  }

  override observe(now: number, observation: RunObservation): void {
    this.tracker.observe(now, observation)
    const { endpoint, service, estimateMs, runMs, job = '', jobTasks = 1 } = observation
    if (estimateMs <= 0 || runMs <= 0) return
    const logRatio = Math.log(runMs / estimateMs)
    const runs = this.jobs.add(job, jobTasks, { endpoint, logRatio })
    if (runs.length > 0) this.observeJob(now, service, runs)
  }

  /** Learns from the finished runs of one job, each compared with the others. */
  private observeJob(now: number, service: string, runs: readonly FinishedRun[]): void {
    const compared = runs.map(({ endpoint, logRatio }) => {
      const { log, variance } = this.ownEstimate(now, endpoint, service)
      return { endpoint, logRatio, log, weight: 1 / (variance + TASK_VARIANCE), variance }
    })
    let allWeight = 1 / JOB_VARIANCE
    let allSum = 0
    for (const { logRatio, log, weight } of compared) {
      allWeight += weight
      allSum += weight * (logRatio - log)
    }
    for (const run of compared) {
      const othersWeight = allWeight - run.weight
      const jobError = (allSum - run.weight * (run.logRatio - run.log)) / othersWeight
      const variance = 1 / othersWeight + TASK_VARIANCE
      this.observeRun(now, service, { ...run, logRatio: run.logRatio - jobError }, variance)
    }
  }

  /** @param noise - variance of the log ratio around that of the endpoint */
  private observeRun(
    now: number,
    service: string,
    run: FinishedRun & SpeedEstimate,
    noise: number,
  ): void {
    const { endpoint, logRatio, log, variance } = run
    const limit = CLIP_DEVIATIONS * Math.sqrt(noise + variance)
    const surprise = logRatio - log
    const clipped = Math.min(limit, Math.max(-limit, surprise))
    const speed = this.speedOf(endpoint, service)
    const side = clipped === surprise ? 0 : Math.sign(surprise)
    if (side !== 0 && side === speed.clippedSide) scaleWeight(now, speed, SURPRISE_FACTOR)
    speed.clippedSide = side
    const weight = Math.min(MAX_RUN_WEIGHT, 1 / noise)
    speed.weight.add(now, weight)
    speed.logRatios.add(now, weight * (log + clipped))
    const total = speed.weight.read(now)
    if (total > MAX_WEIGHT) scaleWeight(now, speed, MAX_WEIGHT / total)
  }

  override slowness(now: number, endpoint: string): number {
    const service = this.serviceOf(endpoint)
    if (service === undefined || !this.spread(now, service).isUneven) {
      return this.tracker.slowness(now, endpoint)
    }
    return Math.exp(this.estimate(now, endpoint, service).log)
  }

  override spread(now: number, service: string): SpeedSpread {
    return this.modelOf(now, service).spread
  }

  override remove(endpoint: string): void {
    this.tracker.remove(endpoint)
    this.traits.delete(endpoint)
    this.kinds.delete(endpoint)
  }

  override snapshot(now: number): readonly EndpointSpeedSample[] {
    return this.tracker.snapshot(now)
  }

  override merge(now: number, samples: readonly EndpointSpeedSample[]): void {
    this.tracker.merge(now, samples)
    for (const { endpoint, service, runs, logRatio } of samples) {
      const weight = MERGED_RUN_WEIGHT * runs
      const known = this.machines.get(this.machineOf(endpoint))
      if (known?.service === service && known.weight.read(now) >= weight) continue
      this.machines.delete(this.machineOf(endpoint))
      const speed = this.speedOf(endpoint, service)
      speed.weight.add(now, weight)
      speed.logRatios.add(now, weight * logRatio)
    }
  }

  /** Slowness of an endpoint by its own runs and those of its peers, relative to the mean. */
  private estimate(now: number, endpoint: string, service: string): SpeedEstimate {
    const model = this.modelOf(now, service)
    const { level } = model
    const prior = model.priorOf(this.kinds.get(endpoint) ?? '')
    const { weight, sum } = this.ownRuns(now, endpoint, service)
    const precision = weight + 1 / prior.variance
    const log = (sum - weight * level + prior.log / prior.variance) / precision
    return { log, variance: 1 / precision }
  }

  /**
   * Like `estimate`, but relative to the estimates of run times, and with the same prior for all:
   * measured variances would hold back what they are measured by.
   */
  private ownEstimate(now: number, endpoint: string, service: string): SpeedEstimate {
    const { level } = this.modelOf(now, service)
    const { weight, sum } = this.ownRuns(now, endpoint, service)
    const precision = weight + 1 / OWN_PRIOR_VARIANCE
    return { log: (sum + level / OWN_PRIOR_VARIANCE) / precision, variance: 1 / precision }
  }

  private ownRuns(now: number, endpoint: string, service: string): { weight: number; sum: number } {
    const own = this.machines.get(this.machineOf(endpoint))
    if (own?.service !== service) return { weight: 0, sum: 0 }
    return { weight: own.weight.read(now), sum: own.logRatios.read(now) }
  }

  private modelOf(now: number, service: string): SpeedModel {
    const known = this.models.get(service)
    if (known !== undefined && now - known.at < this.options.modelReuseMs) return known.model
    const endpoints = this.endpointsOf(service)
    this.assignKinds(endpoints)
    const speeds = endpoints.map((endpoint) => {
      const { weight, sum } = this.ownRuns(now, endpoint, service)
      const logRatio = weight > 0 ? sum / weight : 0
      return { kind: this.kinds.get(endpoint) ?? '', weight, logRatio }
    })
    const model = new SpeedModel(speeds, known?.model.spread.isUneven ?? EVEN_SPREAD.isUneven)
    this.models.set(service, { at: now, model })
    return model
  }

  private endpointsOf(service: string): string[] {
    const described = [...this.traits].filter(([, traits]) => traits.service === service)
    return described.map(([endpoint]) => endpoint)
  }

  private assignKinds(endpoints: readonly string[]): void {
    const peers = new Map<string, number>()
    const labelsOf = (endpoint: string): readonly string[] => {
      return this.traits.get(endpoint)?.labels ?? []
    }
    for (const label of endpoints.flatMap(labelsOf)) peers.set(label, (peers.get(label) ?? 0) + 1)
    for (const endpoint of endpoints) {
      let kind = ''
      for (const label of labelsOf(endpoint)) {
        if ((peers.get(label) ?? 0) > (peers.get(kind) ?? 0)) kind = label
      }
      this.kinds.set(endpoint, kind)
    }
  }

  private serviceOf(endpoint: string): string | undefined {
    return this.traits.get(endpoint)?.service
  }

  private machineOf(endpoint: string): string {
    return this.traits.get(endpoint)?.machine ?? endpoint
  }

  private speedOf(endpoint: string, service: string): MachineSpeed {
    const machine = this.machineOf(endpoint)
    const known = this.machines.get(machine)
    if (known?.service === service) return known
    const { tauMs } = this.options
    const sums = { weight: new DecayedSum(tauMs), logRatios: new DecayedSum(tauMs) }
    const speed = { service, ...sums, clippedSide: 0 }
    this.machines.set(machine, speed)
    return speed
  }
}

function scaleWeight(now: number, { weight, logRatios }: MachineSpeed, factor: number): void {
  for (const sum of [weight, logRatios]) sum.add(now, (factor - 1) * sum.read(now))
}
