import type { JobRequest, TaskRequest } from '../caller/JobRequest'
import { SeededRandom } from '../util/SeededRandom'
import type { RangeShare, WorkloadOptions } from './WorkloadOptions'
import { defaultWorkloadOptions } from './WorkloadOptions'

/** Cores of a task that fits no worker of the brief. */
const NEVER_FITTING_CORES = 10_000

/** Mean of a value drawn evenly over the orders of magnitude of a range. */
function meanOfRange({ min, max }: RangeShare): number {
  return max > min ? (max - min) / Math.log(max / min) : min
}

/** Mean of a mix of ranges. @internal */
export function meanOfMix(mix: readonly RangeShare[]): number {
  const weights = mix.reduce((sum, range) => sum + range.weight, 0)
  return mix.reduce((sum, range) => sum + range.weight * meanOfRange(range), 0) / weights
}

/**
 * Draws a load: jobs in the order of their arrival, equal for equal options.
 *
 * @public
 */
export class WorkloadGenerator {
  private readonly options: WorkloadOptions
  private readonly random: SeededRandom

  constructor(input: Partial<WorkloadOptions> & Pick<WorkloadOptions, 'runId' | 'slots'>) {
    this.options = { ...defaultWorkloadOptions, ...input }
    this.random = new SeededRandom(this.options.seed)
  }

  /** Mean milliseconds between two arrivals outside bursts. */
  get meanGapMs(): number {
    const { slots, busyShare, sizes, runTimes } = this.options
    const workPerJobMs = meanOfMix(sizes) * meanOfMix(runTimes)
    return workPerJobMs / (slots * busyShare)
  }

  generate(): JobRequest[] {
    const jobs: JobRequest[] = []
    let arrivalMs = this.nextGap(0)
    while (arrivalMs < this.options.durationMs) {
      jobs.push(this.drawJob(jobs.length, arrivalMs))
      arrivalMs += this.nextGap(arrivalMs)
    }
    return jobs
  }

  private nextGap(now: number): number {
    return this.random.exponential(this.meanGapMs / this.arrivalFactor(now))
  }

  private arrivalFactor(now: number): number {
    const { everyMs, lengthMs, factor } = this.options.burst
    if (everyMs <= 0) return 1
    // The first burst begins after one whole period: the start of a load is not a burst.
    return now >= everyMs && now % everyMs < lengthMs ? factor : 1
  }

  private drawJob(sequence: number, arrivalMs: number): JobRequest {
    const { options, random } = this
    const submission = `${options.runId}-${sequence}`
    const idempotent = !random.chance(options.nonIdempotentShare)
    const keyed = !idempotent || random.chance(options.keyedShare)
    const size = Math.round(this.draw(options.sizes))
    const tasks = Array.from({ length: size }, (_, index) => this.drawTask(submission, index))
    const cancelAfterMs = this.drawCancellation(arrivalMs)
    return {
      submission,
      caller: random.pickWeighted(options.callers).name,
      key: keyed ? submission : '',
      idempotent,
      deadlineMs: Math.round(this.draw(options.deadlines)),
      arrivalMs,
      tasks: random.chance(options.neverFitsShare) ? withNeverFitting(tasks) : tasks,
      ...(cancelAfterMs === undefined ? {} : { cancelAfterMs }),
    }
  }

  private drawTask(submission: string, index: number): TaskRequest {
    const { options, random } = this
    const runMs = this.draw(options.runTimes)
    const { service } = random.pickWeighted(options.services)
    const task = { service, token: `${submission}-${index}`, runMs }
    if (!random.chance(options.declaredShare)) return task
    const factor = options.declaredErrorFactor
    const expectedRunMs = Math.max(1, Math.round(runMs * random.logBetween(1 / factor, factor)))
    return { ...task, expectedRunMs }
  }

  /** Whether a wave meets the job while it is under way, and how long after its arrival. */
  private drawCancellation(arrivalMs: number): number | undefined {
    const { everyMs, share, reachMs } = this.options.cancelWaves
    if (everyMs <= 0) return undefined
    const waveMs = Math.ceil(arrivalMs / everyMs) * everyMs
    const afterMs = waveMs - arrivalMs
    if (afterMs <= 0 || afterMs > reachMs || !this.random.chance(share)) return undefined
    return afterMs
  }

  private draw(mix: readonly RangeShare[]): number {
    const { min, max } = this.random.pickWeighted(mix)
    return max > min ? this.random.logBetween(min, max) : min
  }
}

function withNeverFitting(tasks: readonly TaskRequest[]): TaskRequest[] {
  return tasks.map((task, index) => (index === 0 ? { ...task, cores: NEVER_FITTING_CORES } : task))
}
