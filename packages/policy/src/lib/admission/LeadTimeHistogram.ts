const BUCKETS = 40
/** Number of further jobs after which the weight of a job's work has decayed to 1/e. */
const DECAY_JOBS = 500

/**
 * Decaying histogram of work by lead time, with buckets of doubling width. The lead time is the
 * time from a job's arrival until it is due in the queue.
 *
 * In a queue ordered by due time, a job waits roughly for the work with the same or a shorter lead
 * time.
 *
 * @internal
 */
export class LeadTimeHistogram {
  private readonly buckets = new Float64Array(BUCKETS)
  private total = 0

  observe(leadMs: number, workMs: number): void {
    const keep = 1 - 1 / DECAY_JOBS
    for (let bucket = 0; bucket < BUCKETS; bucket++) {
      this.buckets[bucket] = (this.buckets[bucket] ?? 0) * keep
    }
    this.total = this.total * keep + workMs
    const bucket = bucketOf(leadMs)
    this.buckets[bucket] = (this.buckets[bucket] ?? 0) + workMs
  }

  /** Share of all work with this lead time or less; 1 before the first observation. */
  cumulativeShare(leadMs: number): number {
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
