/** Width of a bucket: a timer goes off up to this late, which is small beside a 50 ms task. */
const BUCKET_MS = 8

/**
 * Timers in buckets of time: setting one costs the same however many there are.
 *
 * There is no way to cancel one; whoever takes a due item checks whether it still matters.
 *
 * @internal
 */
export class DueWheel<T> {
  private readonly buckets = new Map<number, T[]>()
  private nextBucket: number | undefined

  /** Timers that have not gone off. */
  size = 0

  schedule(at: number, item: T): void {
    const wanted = Math.ceil(at / BUCKET_MS)
    const bucket = Math.max(wanted, this.nextBucket ?? wanted)
    this.nextBucket = Math.min(bucket, this.nextBucket ?? bucket)
    this.size++
    const items = this.buckets.get(bucket)
    if (items === undefined) this.buckets.set(bucket, [item])
    else items.push(item)
  }

  /** Takes out what is due, oldest first. Items that it sets off anew come with the next call. */
  takeDue(now: number): readonly T[] {
    if (this.nextBucket === undefined) return []
    const last = Math.floor(now / BUCKET_MS)
    const due: T[] = []
    for (let bucket = this.nextBucket; bucket <= last && this.size > 0; bucket++) {
      const items = this.buckets.get(bucket)
      if (items === undefined) continue
      this.buckets.delete(bucket)
      this.size -= items.length
      due.push(...items)
    }
    this.nextBucket = this.size === 0 ? undefined : Math.max(this.nextBucket, last + 1)
    return due
  }
}
