const BUCKETS = 40
/** Weight that a job's work keeps after as many further jobs, over e. */
const MEMORY_JOBS = 500

/**
 * Remembers which share of the work comes in jobs of which size, in buckets that double.
 *
 * Queues that serve small jobs first make a job wait for the work of jobs no larger than it.
 *
 * @internal
 */
export class WorkShares {
  private readonly buckets = new Float64Array(BUCKETS)
  private total = 0

  observe(workMs: number): void {
    const keep = 1 - 1 / MEMORY_JOBS
    for (let bucket = 0; bucket < BUCKETS; bucket++) {
      this.buckets[bucket] = (this.buckets[bucket] ?? 0) * keep
    }
    this.total = this.total * keep + workMs
    const bucket = bucketOf(workMs)
    this.buckets[bucket] = (this.buckets[bucket] ?? 0) + workMs
  }

  /** Share of all work in jobs that are no larger than this one; 1 while nothing is known. */
  shareUpTo(workMs: number): number {
    if (this.total <= 0) return 1
    const last = bucketOf(workMs)
    let sum = 0
    for (let bucket = 0; bucket <= last; bucket++) sum += this.buckets[bucket] ?? 0
    return Math.min(1, sum / this.total)
  }
}

function bucketOf(workMs: number): number {
  return Math.min(BUCKETS - 1, Math.max(0, Math.floor(Math.log2(Math.max(1, workMs)))))
}
