import { Effect, Semaphore } from 'effect'
import type { Exit } from 'effect'
import type { Disk } from '../disk/Disk'
import { StorageError, StorageErrorKind, storageError } from '../errors/StorageError'
import { replaceFile } from '../file/replaceFile'
import { recoverSegments } from './recoverSegments'
import { readSegment } from './scanSegment'
import { encodeBatch, encodeSegment } from './segmentFormat'
import { SegmentList } from './SegmentList'
import type { Segment } from './SegmentList'
import { segmentName } from './segmentName'

/** @public */
export interface RecordLogOptions {
  /** A new segment is started once the last one has this many bytes. */
  readonly segmentBytes: number
  /** Longest record, in bytes; it bounds what one sync has to wait for. */
  readonly maxRecordBytes: number
}

/**
 * A segment is copied as a whole when records of it are dropped, so it stays small enough to be
 * copied within some tens of milliseconds.
 *
 * @public
 */
export const defaultRecordLogOptions: RecordLogOptions = {
  segmentBytes: 4 * 1024 * 1024,
  maxRecordBytes: 16 * 1024 * 1024,
}

/** Appends that are written and synced together. */
interface Batch {
  readonly records: Uint8Array[]
  outcome: Exit.Exit<void, StorageError> | undefined
}

/**
 * Checksummed, length-prefixed records in a sequence of segment files.
 *
 * What was acknowledged is there after a crash; of what was not, a prefix may be. After a failed
 * operation the log refuses all others until it is opened again: what the disk then holds is
 * unknown, and a failed sync must not be repeated on the same file.
 *
 * @public
 */
export class RecordLog {
  private readonly turn = Semaphore.makeUnsafe(1)
  private openBatch: Batch | undefined
  private failure: StorageError | undefined

  private constructor(
    private readonly disk: Disk,
    private readonly name: string,
    private readonly options: RecordLogOptions,
    private readonly segments: SegmentList,
    /** The records as they were when the log was opened. */
    readonly records: readonly Uint8Array[],
  ) {}

  /**
   * Opens a log and recovers it; makes it when there is none.
   *
   * A torn end is cut off. Damage elsewhere is an error of kind `Damaged`.
   */
  static open(
    disk: Disk,
    name: string,
    options: Partial<RecordLogOptions> = {},
  ): Effect.Effect<RecordLog, StorageError> {
    return Effect.gen(function* () {
      const found = yield* recoverSegments(disk, name)
      const segments = new SegmentList(found)
      const records = found.flatMap((segment) => segment.payloads)
      const merged = { ...defaultRecordLogOptions, ...options }
      return new RecordLog(disk, name, merged, segments, records)
    })
  }

  /** How many records the log holds now. */
  get length(): number {
    return this.segments.end - this.segments.start
  }

  /** How many records were ever dropped from its front. */
  get dropped(): number {
    return this.segments.start
  }

  /**
   * Adds records. Done when they are synced; records of concurrent calls share one sync.
   *
   * A failed append may have stored a prefix of its records all the same.
   */
  append(records: readonly Uint8Array[]): Effect.Effect<void, StorageError> {
    const tooLong = records.find((record) => record.length > this.options.maxRecordBytes)
    if (tooLong !== undefined) {
      return this.misuse(`a record of ${tooLong.length} bytes is longer than the log allows`)
    }
    if (records.length === 0) return Effect.void
    // Uninterruptible from the start: a batch whose caller has gone would wait for the next one.
    return Effect.uninterruptible(
      Effect.suspend(() => {
        const batch = this.joinBatch(records)
        return this.turn.withPermit(Effect.suspend(() => batch.outcome ?? this.flush(batch)))
      }),
    )
  }

  /** Keeps the first `count` records. Done when the others are gone for good. */
  truncateAfter(count: number): Effect.Effect<void, StorageError> {
    return this.inTurn(
      Effect.suspend(() => {
        if (!this.isCount(count)) return this.misuse(`cannot keep ${count} of ${this.length}`)
        if (count === this.length) return Effect.void
        return this.stopOnFailure(this.cutAfter(this.segments.start + count))
      }),
    )
  }

  /** Removes the first `count` records, all of them or, on a crash before the end, none. */
  dropFirst(count: number): Effect.Effect<void, StorageError> {
    return this.inTurn(
      Effect.suspend(() => {
        if (!this.isCount(count)) return this.misuse(`cannot drop ${count} of ${this.length}`)
        if (count === 0) return Effect.void
        return this.stopOnFailure(this.dropBefore(this.segments.start + count))
      }),
    )
  }

  /** Joins the batch that waits for its turn, or starts one. */
  private joinBatch(records: readonly Uint8Array[]): Batch {
    this.openBatch ??= { records: [], outcome: undefined }
    this.openBatch.records.push(...records)
    return this.openBatch
  }

  private flush(batch: Batch): Effect.Effect<void, StorageError> {
    return Effect.gen({ self: this }, function* () {
      if (this.openBatch === batch) this.openBatch = undefined
      const outcome = yield* Effect.exit(this.stopOnFailure(this.write(batch.records)))
      batch.outcome = outcome
      return yield* outcome
    })
  }

  private write(records: readonly Uint8Array[]): Effect.Effect<void, StorageError> {
    return Effect.gen({ self: this }, function* () {
      if (this.segments.last.size >= this.options.segmentBytes) yield* this.startSegment()
      const last = this.segments.last
      const bytes = encodeBatch(records, last.size, this.segments.end)
      yield* this.disk.append(last.name, bytes)
      yield* this.disk.sync(last.name)
      this.segments.grow(records.length, bytes.length)
    })
  }

  private startSegment(): Effect.Effect<void, StorageError> {
    return this.placeSegment(this.segments.end, this.segments.start, [])
  }

  private cutAfter(end: number): Effect.Effect<void, StorageError> {
    return Effect.gen({ self: this }, function* () {
      // From the back and one by one: a crash in between must not leave a gap.
      while (this.segments.last.first > end) {
        yield* this.disk.remove(this.segments.last.name)
        yield* this.disk.syncFolder()
        this.segments.removeLast()
      }
      const last = this.segments.last
      const payloads = yield* readSegment(this.disk, last)
      // A whole new file rather than a shorter old one: stale bytes can't come back behind its end.
      const kept = payloads.slice(0, end - last.first)
      yield* this.placeSegment(last.first, this.segments.start, kept)
    })
  }

  private dropBefore(start: number): Effect.Effect<void, StorageError> {
    return Effect.gen({ self: this }, function* () {
      const border = this.segments.holding(start)
      const payloads = yield* readSegment(this.disk, border)
      // Its header carries the new floor, so this rename alone drops all records before it.
      yield* this.placeSegment(start, start, payloads.slice(start - border.first))
      // No sync after this: segments below the floor are ignored, should they come back.
      for (const segment of this.segments.removeBefore(start)) {
        yield* this.disk.remove(segment.name)
      }
    })
  }

  /** Writes a whole segment and puts it in place of one with the same first record. */
  private placeSegment(
    first: number,
    floor: number,
    payloads: readonly Uint8Array[],
  ): Effect.Effect<void, StorageError> {
    const bytes = encodeSegment(first, floor, payloads)
    const name = segmentName(this.name, first)
    const segment: Segment = { name, first, count: payloads.length, size: bytes.length }
    return Effect.andThen(
      replaceFile(this.disk, name, bytes),
      Effect.sync(() => {
        this.segments.place(segment)
      }),
    )
  }

  private isCount(count: number): boolean {
    return Number.isInteger(count) && count >= 0 && count <= this.length
  }

  /** Runs after all that was asked before; appends asked for later don't join earlier ones. */
  private inTurn(run: Effect.Effect<void, StorageError>): Effect.Effect<void, StorageError> {
    return Effect.uninterruptible(
      Effect.suspend(() => {
        this.openBatch = undefined
        return this.turn.withPermit(run)
      }),
    )
  }

  private stopOnFailure(run: Effect.Effect<void, StorageError>): Effect.Effect<void, StorageError> {
    if (this.failure !== undefined) return Effect.fail(this.refusal(this.failure))
    return Effect.tapError(run, (err) =>
      Effect.sync(() => {
        this.failure ??= err
      }),
    )
  }

  private refusal(cause: StorageError): StorageError {
    const detail = 'not tried, since an earlier operation on this log failed'
    return new StorageError({ kind: StorageErrorKind.Stopped, file: this.name, detail, cause })
  }

  private misuse(detail: string): Effect.Effect<never, StorageError> {
    return Effect.fail(storageError(StorageErrorKind.Misused, this.name, detail))
  }
}
