import { LruMap } from '../util/LruMap'
import { RunTimeEstimator } from './RunTimeEstimator'
import type { EstimateSubject } from './RunTimeEstimator'
import { RunTimeModel } from './RunTimeModel'
import type { RunTimeSample } from './RunTimeSample'

/** @public */
export interface LearnedEstimatorOptions {
  /** Used when no run time is declared or learned, in milliseconds. */
  readonly defaultMs: number
  /** Weight of a prior, as a number of observations. */
  readonly priorWeight: number
  /** Pairs of caller and service that are kept; the least recently used ones are evicted. */
  readonly maxPairs: number
  readonly maxServices: number
}

/**
 * `defaultMs` is the middle of the typical range of run times, 50 ms to 1 s. See
 * `docs/design/estimates.md` for the measurements behind the other defaults.
 *
 * @public
 */
export const defaultLearnedEstimatorOptions: LearnedEstimatorOptions = {
  defaultMs: 300,
  priorWeight: 1,
  maxPairs: 10_000,
  maxServices: 500,
}

/** Bounds of an estimate, in milliseconds. */
const MIN_ESTIMATE_MS = 1
const MAX_ESTIMATE_MS = 3_600_000
/** Number of observations over which the errors of the two models are averaged. */
const ERROR_WINDOW = 30
/** Limits the deviation of the logarithms, so that a few outliers do not inflate the mean. */
const MAX_DEVIATION = 1
/** Largest weight of what another instance has learnt, so that a few dozen runs outweigh it. */
const MAX_MERGED_RUNS = 10
/** Age at which the weight of what another instance has learnt has decayed to 1/e. */
const MERGED_TAU_MS = 300_000

/** Run times learned for one caller's tasks of one service, or for a whole service. */
class RunTimeLearner {
  /** Model of the run time. */
  readonly absolute = new RunTimeModel()
  /** Model of the ratio of the run time to the declared one. */
  readonly ratio = new RunTimeModel()
  private absoluteError = 0
  private ratioError = 0
  private comparisons = 0
  private observedAt = -Infinity

  constructor(
    readonly caller: string | undefined,
    readonly service: string,
  ) {}

  /** Whether scaling the declared run time has predicted better. */
  get prefersRatio(): boolean {
    return this.comparisons > 0 && this.ratioError < this.absoluteError
  }

  sample(now: number): RunTimeSample {
    const { caller, service, absoluteError, ratioError, comparisons } = this
    const ageMs = Math.max(0, now - this.observedAt)
    const [absolute, ratio] = [this.absolute.sample, this.ratio.sample]
    return { caller, service, ageMs, absolute, ratio, absoluteError, ratioError, comparisons }
  }

  /** Takes over a sample, unless the last observation here is more recent. */
  merge(now: number, sample: RunTimeSample): void {
    const { ageMs, absolute, ratio, absoluteError, ratioError, comparisons } = sample
    if (this.observedAt >= now - ageMs) return
    const decay = Math.exp(-ageMs / MERGED_TAU_MS)
    const weight = (count: number): number => decay * Math.min(MAX_MERGED_RUNS, count)
    this.absolute.restore(absolute, weight(absolute.count))
    this.ratio.restore(ratio, weight(ratio.count))
    this.absoluteError = absoluteError
    this.ratioError = ratioError
    this.comparisons = weight(comparisons)
    this.observedAt = now - ageMs
  }

  observe(now: number, declaredMs: number, runMs: number): void {
    this.observedAt = now
    const log = Math.log(Math.max(MIN_ESTIMATE_MS, runMs))
    if (declaredMs > 0) {
      const ratioLog = log - Math.log(declaredMs)
      this.compare(log - this.absolute.center, ratioLog - this.ratio.center)
      this.ratio.observe(ratioLog)
    }
    this.absolute.observe(log)
  }

  private compare(absoluteError: number, ratioError: number): void {
    // The error of a model's first observation is meaningless, as nothing was predicted yet.
    if (this.absolute.count < 2 || this.ratio.count < 2) return
    this.comparisons = Math.min(ERROR_WINDOW, this.comparisons + 1)
    this.absoluteError += (Math.abs(absoluteError) - this.absoluteError) / this.comparisons
    this.ratioError += (Math.abs(ratioError) - this.ratioError) / this.comparisons
  }
}

/**
 * Learns run times per caller and service. The run time that a caller declares is a prior whose
 * weight falls with each observation. Where declared run times vary between tasks and prove to be
 * proportional to the real ones, the estimate scales them, however far off they are.
 *
 * Estimates are means, because they are summed to amounts of work. The mean of a log-normal
 * distribution is the exponential of the mean of the logarithms plus half of their variance.
 *
 * @public
 */
export class LearnedEstimator extends RunTimeEstimator {
  private readonly options: LearnedEstimatorOptions
  private readonly pairs: LruMap<string, RunTimeLearner>
  private readonly services: LruMap<string, RunTimeLearner>

  constructor(options: Partial<LearnedEstimatorOptions> = {}) {
    super()
    this.options = { ...defaultLearnedEstimatorOptions, ...options }
    this.pairs = new LruMap(this.options.maxPairs)
    this.services = new LruMap(this.options.maxServices)
  }

  override estimate(subject: EstimateSubject): number {
    const pair = this.pairs.get(pairKey(subject))
    const prior = this.priorLog(subject)
    if (pair === undefined) return clampEstimate(Math.exp(prior))
    const { log, model } = bestPrediction(pair, subject.declaredMs)
    const { priorWeight } = this.options
    const deviation = Math.min(MAX_DEVIATION, model.deviation)
    const center = (priorWeight * prior + model.count * log) / (priorWeight + model.count)
    return clampEstimate(Math.exp(center + deviation ** 2 / 2))
  }

  override observe(now: number, subject: EstimateSubject, runMs: number): void {
    const { caller, service, declaredMs } = subject
    this.learnerOf(caller, service).observe(now, declaredMs, runMs)
    this.learnerOf(undefined, service).observe(now, declaredMs, runMs)
  }

  override observeAtLeast(now: number, subject: EstimateSubject, runMs: number): void {
    if (runMs > this.estimate(subject)) this.observe(now, subject, runMs)
  }

  override snapshot(now: number): readonly RunTimeSample[] {
    const learners = [...this.services.values(), ...this.pairs.values()]
    return learners.map((learner) => learner.sample(now))
  }

  override merge(now: number, samples: readonly RunTimeSample[]): void {
    for (const sample of samples) {
      this.learnerOf(sample.caller, sample.service).merge(now, sample)
    }
  }

  private learnerOf(caller: string | undefined, service: string): RunTimeLearner {
    const learners = caller === undefined ? this.services : this.pairs
    const key = caller === undefined ? service : pairKey({ caller, service })
    const known = learners.get(key)
    if (known !== undefined) return known
    const learner = new RunTimeLearner(caller, service)
    learners.set(key, learner)
    return learner
  }

  /** Prior of a caller, as a logarithm: its declared run time averaged with its service's model. */
  private priorLog({ service, declaredMs }: EstimateSubject): number {
    const { defaultMs, priorWeight } = this.options
    const declaredLog = Math.log(declaredMs > 0 ? declaredMs : defaultMs)
    const learner = this.services.get(service)
    if (learner === undefined) return declaredLog
    const { log, model } = bestPrediction(learner, declaredMs)
    return (priorWeight * declaredLog + model.count * log) / (priorWeight + model.count)
  }
}

function bestPrediction(
  learner: RunTimeLearner,
  declaredMs: number,
): { log: number; model: RunTimeModel } {
  const { absolute, ratio } = learner
  if (declaredMs > 0 && learner.prefersRatio) {
    return { log: Math.log(declaredMs) + ratio.center, model: ratio }
  }
  return { log: absolute.center, model: absolute }
}

function pairKey({ caller, service }: Pick<EstimateSubject, 'caller' | 'service'>): string {
  return `${caller}/${service}`
}

function clampEstimate(ms: number): number {
  return Math.min(MAX_ESTIMATE_MS, Math.max(MIN_ESTIMATE_MS, ms))
}
