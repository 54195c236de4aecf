interface WeightedFailure {
  readonly jobId: string
  readonly at: number
  weight: number
}

/** Failures kept per endpoint. The oldest ones are dropped; they have been evaluated already. */
const MAX_FAILURES = 64
const NEGLIGIBLE_WEIGHT = 0.05

/**
 * The weighted failures of one endpoint, with a limit on the weight of each job. Weights decay with
 * time and with each success.
 *
 * @internal
 */
export class WeightedFailures {
  private failures: WeightedFailure[] = []

  constructor(
    /** Age at which the weight of a failure has decayed to 1/e, in milliseconds. */
    private readonly tauMs: number,
    /** Factor by which each success reduces the weight of earlier failures, 0 to 1. */
    private readonly successDecayFactor: number,
  ) {}

  /** @param jobLimit - maximum total weight of the failures of one job */
  add(now: number, jobId: string, weight: number, jobLimit: number): void {
    const ofJob = this.failures.filter((failure) => failure.jobId === jobId)
    if (ofJob.reduce((sum, failure) => sum + failure.weight, weight) > jobLimit) return
    this.failures.push({ jobId, at: now, weight })
    if (this.failures.length > MAX_FAILURES) this.failures.shift()
  }

  decayOnSuccess(): void {
    if (this.failures.length === 0) return
    for (const failure of this.failures) failure.weight *= this.successDecayFactor
    this.failures = this.failures.filter((failure) => failure.weight >= NEGLIGIBLE_WEIGHT)
  }

  removeJob(jobId: string): void {
    this.failures = this.failures.filter((failure) => failure.jobId !== jobId)
  }

  clear(): void {
    this.failures = []
  }

  /** @param withoutJob - job whose failures are left out */
  score(now: number, withoutJob?: string): number {
    return this.failures.reduce((sum, { at, weight, jobId }) => {
      if (jobId === withoutJob) return sum
      return sum + weight * Math.exp(-Math.max(0, now - at) / this.tauMs)
    }, 0)
  }
}
