import { Effect } from 'effect'
import type { Result } from 'ts-results'
import type { Disk } from '../disk/Disk'
import { StorageErrorKind, storageError } from '../errors/StorageError'
import type { StorageError } from '../errors/StorageError'
import { TEMPORARY_SUFFIX, replaceFile } from '../file/replaceFile'
import { readHeader, scanSegment } from './scanSegment'
import type { ScannedSegment } from './scanSegment'
import { encodeSegment } from './segmentFormat'
import type { SegmentHeader } from './segmentFormat'
import { isSegmentName, segmentName } from './segmentName'

interface SegmentFile {
  readonly name: string
  readonly bytes: Buffer
  readonly header: SegmentHeader
}

function orFail<A>(result: Result<A, StorageError>): Effect.Effect<A, StorageError> {
  return result.ok ? Effect.succeed(result.val) : Effect.fail(result.val)
}

function readSegmentFile(disk: Disk, name: string): Effect.Effect<SegmentFile, StorageError> {
  return Effect.gen(function* () {
    const stored = (yield* disk.read(name)) ?? new Uint8Array()
    const bytes = Buffer.from(stored.buffer, stored.byteOffset, stored.byteLength)
    return { name, bytes, header: yield* orFail(readHeader(name, bytes)) }
  })
}

/** Removes temporary files that a crash left behind. */
function removeTemporaries(
  disk: Disk,
  log: string,
  files: readonly string[],
): Effect.Effect<void, StorageError> {
  const left = files.filter(
    (file) =>
      file.endsWith(TEMPORARY_SUFFIX) &&
      isSegmentName(log, file.slice(0, -TEMPORARY_SUFFIX.length)),
  )
  return Effect.forEach(left, (file) => disk.remove(file), { discard: true })
}

/** Scans segments in order; each must start at the record after the previous segment's last. */
function scanInOrder(
  log: string,
  floor: number,
  files: readonly SegmentFile[],
): Effect.Effect<readonly ScannedSegment[], StorageError> {
  return Effect.gen(function* () {
    const segments: ScannedSegment[] = []
    let next = floor
    for (const [i, file] of files.entries()) {
      const isLast = i === files.length - 1
      if (file.header.first !== next) {
        const detail = `records from number ${next} on are missing`
        return yield* Effect.fail(storageError(StorageErrorKind.Damaged, log, detail))
      }
      const segment = yield* orFail(scanSegment(file.name, file.bytes, isLast))
      segments.push(segment)
      next += segment.payloads.length
    }
    return segments
  })
}

/**
 * Rewrites the last segment. After a killed process or a failed sync, the bytes just read may exist
 * only in the page cache; after a failed sync the kernel would never write them back.
 */
function rewriteLast(
  disk: Disk,
  { name, header, payloads }: ScannedSegment,
): Effect.Effect<void, StorageError> {
  return replaceFile(disk, name, encodeSegment(header.first, header.floor, payloads))
}

/**
 * Reads all segments of a log, truncates a torn tail and makes the remaining records durable.
 *
 * @returns at least one segment, in order
 * @internal
 */
export function recoverSegments(
  disk: Disk,
  log: string,
): Effect.Effect<readonly ScannedSegment[], StorageError> {
  return Effect.gen(function* () {
    const files = yield* disk.list()
    yield* removeTemporaries(disk, log, files)
    const names = files.filter((file) => isSegmentName(log, file))
    const all = yield* Effect.forEach(names, (name) => readSegmentFile(disk, name))
    const floor = Math.max(0, ...all.map((file) => file.header.floor))
    const dropped = all.filter((file) => file.header.first < floor)
    const kept = all.filter((file) => file.header.first >= floor)
    const found = yield* scanInOrder(log, floor, kept)
    const segments = found.length > 0 ? found : [emptySegment(log, floor)]
    const last = segments.at(-1)
    if (last !== undefined) yield* rewriteLast(disk, last)
    for (const file of dropped) yield* disk.remove(file.name)
    return segments
  })
}

function emptySegment(log: string, first: number): ScannedSegment {
  const header = { first, floor: first, syncedSize: 0 }
  return { name: segmentName(log, first), header, payloads: [], tornBytes: 0 }
}
