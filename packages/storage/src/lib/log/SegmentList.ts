import type { ScannedSegment } from './scanSegment'
import { RECORD_HEADER_SIZE, SEGMENT_HEADER_SIZE } from './segmentFormat'

/** One segment file as the log knows it. @internal */
export interface Segment {
  readonly name: string
  /** Number of its first record, counted from the start of the log. */
  readonly first: number
  readonly count: number
  /** Size of the file in bytes. */
  readonly size: number
}

function toSegment({ name, header, payloads }: ScannedSegment): Segment {
  const count = payloads.length
  const content = payloads.reduce((sum, payload) => sum + payload.length, 0)
  const size = SEGMENT_HEADER_SIZE + count * RECORD_HEADER_SIZE + content
  return { name, first: header.first, count, size }
}

/** The segments of a log in order; there is always at least one. @internal */
export class SegmentList {
  private items: Segment[]

  constructor(found: readonly ScannedSegment[]) {
    this.items = found.map(toSegment)
  }

  /** The segment that is appended to. */
  get last(): Segment {
    const last = this.items.at(-1)
    if (last === undefined) throw new Error('a log has at least one segment')
    return last
  }

  /** Number of the first record. */
  get start(): number {
    return this.items[0]?.first ?? 0
  }

  /** Number that the next record gets. */
  get end(): number {
    return this.last.first + this.last.count
  }

  /** The segment that holds a record; the last one for the record to come. */
  holding(sequence: number): Segment {
    return this.items.findLast((segment) => segment.first <= sequence) ?? this.last
  }

  /** Notes that records were added to the last segment. */
  grow(records: number, bytes: number): void {
    const last = this.last
    this.place({ ...last, count: last.count + records, size: last.size + bytes })
  }

  /** Puts a segment where it belongs, in place of one with the same first record. */
  place(segment: Segment): void {
    const others = this.items.filter((item) => item.first !== segment.first)
    this.items = [...others, segment].sort((a, b) => a.first - b.first)
  }

  removeLast(): void {
    this.items.pop()
  }

  /** Takes out the segments that start before a record, and returns them. */
  removeBefore(sequence: number): readonly Segment[] {
    const removed = this.items.filter((segment) => segment.first < sequence)
    this.items = this.items.filter((segment) => segment.first >= sequence)
    return removed
  }
}
