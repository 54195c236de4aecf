import type { ScannedSegment } from './scanSegment'
import { RECORD_HEADER_SIZE, SEGMENT_HEADER_SIZE } from './segmentFormat'

/** Metadata of one segment file. @internal */
export interface Segment {
  readonly name: string
  /** Sequence number of its first record. */
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

  /** The segment that receives appends. */
  get last(): Segment {
    const last = this.items.at(-1)
    if (last === undefined) throw new Error('a log has at least one segment')
    return last
  }

  /** Sequence number of the first record. */
  get start(): number {
    return this.items[0]?.first ?? 0
  }

  /** Sequence number of the next record to be appended. */
  get end(): number {
    return this.last.first + this.last.count
  }

  /** The segment that holds a record; the last segment if the record is not yet appended. */
  holding(sequence: number): Segment {
    return this.items.findLast((segment) => segment.first <= sequence) ?? this.last
  }

  /** Updates the last segment's metadata after an append. */
  grow(records: number, bytes: number): void {
    const last = this.last
    this.place({ ...last, count: last.count + records, size: last.size + bytes })
  }

  /** Inserts a segment in order, replacing any segment with the same first record. */
  place(segment: Segment): void {
    const others = this.items.filter((item) => item.first !== segment.first)
    this.items = [...others, segment].sort((a, b) => a.first - b.first)
  }

  removeLast(): void {
    this.items.pop()
  }

  /** Removes and returns the segments that start before a record. */
  removeBefore(sequence: number): readonly Segment[] {
    const removed = this.items.filter((segment) => segment.first < sequence)
    this.items = this.items.filter((segment) => segment.first >= sequence)
    return removed
  }
}
