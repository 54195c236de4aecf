/** Width of a bucket: a timer goes off up to this late, which is small beside a 50 ms task. */
const BUCKET_MS = 8

/**
 * Timers in buckets of time: setting one costs the same however many there are.
 *
 * There is no way to cancel one; whoever takes a due item checks whether it still matters.
 *
 * @internal
 */
export class TimerWheel<T> {
  private readonly buckets = new Map<number, T[]>()
  /** First bucket that was not taken yet; what is set for an earlier one goes there. */
  private openBucket = -Infinity
  /** No bucket before this one holds anything. */
  private earliest = Infinity
  private count = 0

  /** Timers that have not gone off. */
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

  /** Takes out what is due, oldest first. */
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
