const BUCKETS = 40
/** Weight that a job's work keeps after as many further jobs, over e. */
const MEMORY_JOBS = 500

/**
 * Remembers which share of the work comes with which lead, in buckets that double. The lead is
 * the time from a job's arrival until it falls due in the queue.
 *
 * A queue that serves by due time makes a job wait about for the work of no longer lead.
 *
 * @internal
 */
export class LeadShares {
  private readonly buckets = new Float64Array(BUCKETS)
  private total = 0

  observe(leadMs: number, workMs: number): void {
    const keep = 1 - 1 / MEMORY_JOBS
    for (let bucket = 0; bucket < BUCKETS; bucket++) {
      this.buckets[bucket] = (this.buckets[bucket] ?? 0) * keep
    }
    this.total = this.total * keep + workMs
    const bucket = bucketOf(leadMs)
    this.buckets[bucket] = (this.buckets[bucket] ?? 0) + workMs
  }

  /** Share of all work that comes with this lead or less; 1 while nothing is known. */
  shareUpTo(leadMs: number): number {
    if (this.total <= 0) return 1
    const last = bucketOf(leadMs)
    let sum = 0
    for (let bucket = 0; bucket <= last; bucket++) sum += this.buckets[bucket] ?? 0
    return Math.min(1, sum / this.total)
  }
}

function bucketOf(leadMs: number): number {
  return Math.min(BUCKETS - 1, Math.max(0, Math.floor(Math.log2(Math.max(1, leadMs)))))
}
