import type { Weighted } from '../util/SeededRandom'

/** @public */
export interface CallerShare extends Weighted {
  readonly name: string
}

/** @public */
export interface ServiceShare extends Weighted {
  readonly service: string
}

/** A class of values that is drawn by weight, then evenly over the orders of magnitude. @public */
export interface RangeShare extends Weighted {
  readonly min: number
  readonly max: number
}

/** A time during which jobs arrive faster. @public */
export interface BurstOptions {
  /** Milliseconds from one start to the next; 0 for no bursts. */
  readonly everyMs: number
  readonly lengthMs: number
  /** Arrivals during a burst, as a multiple of those outside it. */
  readonly factor: number
}

/** Moments at which callers give up many jobs at once. @public */
export interface CancelWaveOptions {
  /** Milliseconds between two waves; 0 for none. */
  readonly everyMs: number
  /** Share of the jobs that are under way then. */
  readonly share: number
  /** A job counts as under way for this long after it arrived, in milliseconds. */
  readonly reachMs: number
}

/** @public */
export interface WorkloadOptions {
  /** Stamped into every name, so that two runs never share a key or a token. */
  readonly runId: string
  readonly seed: number
  readonly durationMs: number
  /** Slots of the whole deployment. */
  readonly slots: number
  /** Share of the slots that the work, bursts aside, keeps busy in the mean. */
  readonly busyShare: number
  readonly callers: readonly CallerShare[]
  readonly services: readonly ServiceShare[]
  /** Tasks per job. */
  readonly sizes: readonly RangeShare[]
  /** True run times in milliseconds. */
  readonly runTimes: readonly RangeShare[]
  /** Declared run times are off by up to this factor, either way. */
  readonly declaredErrorFactor: number
  /** Share of tasks that declare a run time. */
  readonly declaredShare: number
  readonly nonIdempotentShare: number
  /** Share of idempotent jobs that carry a key; non-idempotent ones always do. */
  readonly keyedShare: number
  readonly deadlines: readonly RangeShare[]
  /** Share of jobs with a task that no worker could ever hold. */
  readonly neverFitsShare: number
  readonly burst: BurstOptions
  readonly cancelWaves: CancelWaveOptions
}

/**
 * An ordinary day after the brief: most tasks last 50 ms to 1 s, a few several seconds; most
 * jobs are small, and some are as wide as 120 tasks.
 *
 * @public
 */
export const defaultWorkloadOptions: Omit<WorkloadOptions, 'runId' | 'slots'> = {
  seed: 1,
  durationMs: 10_000,
  busyShare: 0.5,
  callers: [{ name: 'desk', weight: 1 }],
  services: [{ service: 'trace', weight: 1 }],
  sizes: [
    { weight: 0.6, min: 1, max: 1 },
    { weight: 0.3, min: 2, max: 12 },
    { weight: 0.08, min: 13, max: 48 },
    { weight: 0.02, min: 49, max: 120 },
  ],
  runTimes: [
    { weight: 0.97, min: 50, max: 1000 },
    { weight: 0.03, min: 2000, max: 5000 },
  ],
  declaredErrorFactor: 10,
  declaredShare: 0.9,
  nonIdempotentShare: 0.2,
  keyedShare: 0.5,
  deadlines: [{ weight: 1, min: 10_000, max: 30_000 }],
  neverFitsShare: 0,
  burst: { everyMs: 0, lengthMs: 0, factor: 1 },
  cancelWaves: { everyMs: 0, share: 0, reachMs: 0 },
}
