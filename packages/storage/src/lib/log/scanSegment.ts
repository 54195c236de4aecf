import { Effect } from 'effect'
import { Err, Ok } from '@cherryhitch/model'
import type { Result } from 'ts-results'
import type { Disk } from '../disk/Disk'
import { StorageErrorKind, storageError } from '../errors/StorageError'
import type { StorageError } from '../errors/StorageError'
import {
  HeaderFault,
  RECORD_HEADER_SIZE,
  SEGMENT_HEADER_SIZE,
  decodeSegmentHeader,
  isRecordValid,
  peekRecordHeader,
} from './segmentFormat'
import type { SegmentHeader } from './segmentFormat'

/** Content of one segment file. @internal */
export interface ScannedSegment {
  readonly name: string
  readonly header: SegmentHeader
  readonly payloads: readonly Uint8Array[]
  /** Bytes after the last complete record, left by a write that a crash interrupted. */
  readonly tornBytes: number
}

/** Reads the header of a segment; the error tells why it cannot be read. @internal */
export function readHeader(name: string, bytes: Buffer): Result<SegmentHeader, StorageError> {
  const header = decodeSegmentHeader(bytes)
  if (header === HeaderFault.Damaged) {
    return Err(storageError(StorageErrorKind.Damaged, name, 'the header of the segment is damaged'))
  }
  if (header === HeaderFault.TooNew) {
    const detail = 'the segment was written in a format that this program does not know'
    return Err(storageError(StorageErrorKind.TooNew, name, detail))
  }
  return Ok(header)
}

/** Payload length of the record at this offset; undefined unless it is valid and has this sequence
 * number. */
function validLengthAt(bytes: Buffer, at: number, sequence: number): number | undefined {
  const record = peekRecordHeader(bytes, at)
  if (record?.sequence !== sequence) return undefined
  return isRecordValid(bytes, at, record.length) ? record.length : undefined
}

/**
 * Whether a valid record of a batch that started after `from` follows. A batch is written only
 * after the previous one was synced, so such a record shows that the bytes at `from` had been
 * acknowledged. Valid records of the same batch prove nothing: a disk may write the pages of one
 * batch in any order.
 */
function isFollowedByLaterBatch(bytes: Buffer, from: number, sequence: number): boolean {
  for (let at = from + 1; at + RECORD_HEADER_SIZE <= bytes.length; at++) {
    const record = peekRecordHeader(bytes, at)
    if (record === undefined) continue
    if (record.batchStart <= from || record.batchStart > at) continue
    if (record.sequence <= sequence || record.sequence > sequence + bytes.length) continue
    if (isRecordValid(bytes, at, record.length)) return true
  }
  return false
}

/**
 * Reads a segment and distinguishes a tail torn by a crash from later corruption.
 *
 * @param isLast - only the last segment may have a torn tail
 * @internal
 */
export function scanSegment(
  name: string,
  bytes: Buffer,
  isLast: boolean,
): Result<ScannedSegment, StorageError> {
  const header = readHeader(name, bytes)
  if (header.err) return header
  const { first, syncedSize } = header.val
  const payloads: Uint8Array[] = []
  let at = SEGMENT_HEADER_SIZE
  while (at < bytes.length) {
    const length = validLengthAt(bytes, at, first + payloads.length)
    if (length === undefined) break
    const start = at + RECORD_HEADER_SIZE
    payloads.push(bytes.subarray(start, start + length))
    at = start + length
  }
  const isTorn = at < bytes.length
  const isDamaged =
    at < syncedSize ||
    (isTorn && (!isLast || isFollowedByLaterBatch(bytes, at, first + payloads.length)))
  if (isDamaged) {
    const detail = `record ${first + payloads.length} at byte ${at} is damaged, and it had been acknowledged`
    return Err(storageError(StorageErrorKind.Damaged, name, detail))
  }
  return Ok({ name, header: header.val, payloads, tornBytes: bytes.length - at })
}

/** Reads the records of a segment that this process wrote or recovered. @internal */
export function readSegment(
  disk: Disk,
  { name, first, count }: { readonly name: string; readonly first: number; readonly count: number },
): Effect.Effect<readonly Uint8Array[], StorageError> {
  return Effect.gen(function* () {
    const stored = (yield* disk.read(name)) ?? new Uint8Array()
    const bytes = Buffer.from(stored.buffer, stored.byteOffset, stored.byteLength)
    const scanned = scanSegment(name, bytes, false)
    if (scanned.err) return yield* Effect.fail(scanned.val)
    if (scanned.val.header.first === first && scanned.val.payloads.length === count) {
      return scanned.val.payloads
    }
    const detail = `the segment holds other records than the ${count} that were written`
    return yield* Effect.fail(storageError(StorageErrorKind.Damaged, name, detail))
  })
}
