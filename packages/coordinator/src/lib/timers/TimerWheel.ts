/** Width of a bucket. Timers fire up to this much late; short compared with a task of 50 ms. */
const BUCKET_MS = 8

/**
 * Timers grouped in buckets of equal width, so that scheduling one takes constant time.
 *
 * Timers can't be cancelled. The code that handles a due item checks whether it still applies.
 *
 * @internal
 */
export class TimerWheel<T> {
  private readonly buckets = new Map<number, T[]>()
  /** First bucket that has not been taken. Timers scheduled for an earlier one are put here. */
  private openBucket = -Infinity
  /** All buckets before this one are empty. */
  private earliest = Infinity
  private count = 0

  /** Number of timers that have not fired. */
  get size(): number {
    return this.count
  }

  schedule(at: number, item: T): void {
    const bucket = Math.max(Math.ceil(at / BUCKET_MS), this.openBucket)
    this.earliest = Math.min(this.earliest, bucket)
    this.count++
    const items = this.buckets.get(bucket)
    if (items === undefined) this.buckets.set(bucket, [item])
    else items.push(item)
  }

  /** Removes and returns the due items, oldest bucket first. */
  takeDue(now: number): readonly T[] {
    const last = Math.floor(now / BUCKET_MS)
    this.openBucket = Math.max(this.openBucket, last + 1)
    const due: T[] = []
    while (this.earliest <= last && this.count > 0) {
      const items = this.buckets.get(this.earliest)
      if (items !== undefined) {
        this.buckets.delete(this.earliest)
        this.count -= items.length
        due.push(...items)
      }
      this.earliest++
    }
    if (this.count === 0) this.earliest = Infinity
    return due
  }
}
