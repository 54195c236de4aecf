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
  /** A new segment is started once the last one has reached this size. */
  readonly segmentBytes: number
  /** Maximum record size in bytes; bounds how much data one sync has to flush. */
  readonly maxRecordBytes: number
}

/**
 * Dropping records from a segment rewrites the whole segment, so segments are kept small enough to
 * be copied within some tens of milliseconds.
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
 * Acknowledged records survive a crash; of the unacknowledged ones, a prefix may survive. After a
 * failed operation the log rejects all others until it is reopened: the content of the disk is then
 * unknown, and a failed sync must not be retried on the same file.
 *
 * @public
 */
export class RecordLog {
  private readonly mutex = Semaphore.makeUnsafe(1)
  private pendingBatch: Batch | undefined
  private failure: StorageError | undefined

  private constructor(
    private readonly disk: Disk,
    private readonly name: string,
    private readonly options: RecordLogOptions,
    private readonly segments: SegmentList,
    /** The records that the log held when it was opened. */
    readonly records: readonly Uint8Array[],
  ) {}

  /**
   * Opens and recovers a log; creates it if it does not exist.
   *
   * A torn tail is truncated. Corruption elsewhere is an error of kind `Damaged`.
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

  /** Number of records in the log. */
  get length(): number {
    return this.segments.end - this.segments.start
  }

  /** Total number of records dropped from the front since the log was created. */
  get dropped(): number {
    return this.segments.start
  }

  /**
   * Appends records and completes once they are synced. Concurrent calls share one sync (group
   * commit).
   *
   * A failed append may still have stored a prefix of its records.
   */
  append(records: readonly Uint8Array[]): Effect.Effect<void, StorageError> {
    const tooLong = records.find((record) => record.length > this.options.maxRecordBytes)
    if (tooLong !== undefined) {
      return this.misuse(`a record of ${tooLong.length} bytes is longer than the log allows`)
    }
    if (records.length === 0) return Effect.void
    // Uninterruptible from the start: if the caller were interrupted, its batch would stay
    // unwritten until the next append.
    return Effect.uninterruptible(
      Effect.suspend(() => {
        const batch = this.joinBatch(records)
        return this.mutex.withPermit(Effect.suspend(() => batch.outcome ?? this.flush(batch)))
      }),
    )
  }

  /** Keeps the first `count` records; completes once the removal of the others is durable. */
  truncateAfter(count: number): Effect.Effect<void, StorageError> {
    return this.runExclusive(
      Effect.suspend(() => {
        if (!this.isCount(count)) return this.misuse(`cannot keep ${count} of ${this.length}`)
        if (count === this.length) return Effect.void
        return this.stopOnFailure(this.cutAfter(this.segments.start + count))
      }),
    )
  }

  /** Removes the first `count` records atomically: after a crash, all or none are removed. */
  dropFirst(count: number): Effect.Effect<void, StorageError> {
    return this.runExclusive(
      Effect.suspend(() => {
        if (!this.isCount(count)) return this.misuse(`cannot drop ${count} of ${this.length}`)
        if (count === 0) return Effect.void
        return this.stopOnFailure(this.dropBefore(this.segments.start + count))
      }),
    )
  }

  /** Adds records to the batch that waits for the mutex, or starts a new batch. */
  private joinBatch(records: readonly Uint8Array[]): Batch {
    this.pendingBatch ??= { records: [], outcome: undefined }
    this.pendingBatch.records.push(...records)
    return this.pendingBatch
  }

  private flush(batch: Batch): Effect.Effect<void, StorageError> {
    return Effect.gen({ self: this }, function* () {
      if (this.pendingBatch === batch) this.pendingBatch = undefined
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
      // Removed one by one from the end, so that a crash in between leaves no gap.
      while (this.segments.last.first > end) {
        yield* this.disk.remove(this.segments.last.name)
        yield* this.disk.syncFolder()
        this.segments.removeLast()
      }
      const last = this.segments.last
      const payloads = yield* readSegment(this.disk, last)
      // Writes a new file instead of truncating the old one, so that stale bytes cannot reappear
      // after its end.
      const kept = payloads.slice(0, end - last.first)
      yield* this.placeSegment(last.first, this.segments.start, kept)
    })
  }

  private dropBefore(start: number): Effect.Effect<void, StorageError> {
    return Effect.gen({ self: this }, function* () {
      const boundary = this.segments.holding(start)
      const payloads = yield* readSegment(this.disk, boundary)
      // The segment header holds the new floor, so this single rename drops all earlier records.
      yield* this.placeSegment(start, start, payloads.slice(start - boundary.first))
      // No folder sync is needed: recovery ignores segments below the floor if they reappear.
      for (const segment of this.segments.removeBefore(start)) {
        yield* this.disk.remove(segment.name)
      }
    })
  }

  /** Writes a whole segment atomically, replacing any segment with the same first record. */
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

  /** Runs after all earlier operations; later appends do not join a batch queued before it. */
  private runExclusive(run: Effect.Effect<void, StorageError>): Effect.Effect<void, StorageError> {
    return Effect.uninterruptible(
      Effect.suspend(() => {
        this.pendingBatch = undefined
        return this.mutex.withPermit(run)
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
