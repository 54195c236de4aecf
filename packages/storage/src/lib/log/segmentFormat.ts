import { crc32 } from 'node:zlib'

/** `CHLG` in the first four bytes. */
export const SEGMENT_MAGIC = 0x43484c47
export const SEGMENT_VERSION = 1
export const SEGMENT_HEADER_SIZE = 32
export const RECORD_HEADER_SIZE = 20

const headerOffsets = { magic: 0, version: 4, first: 8, floor: 16, syncedSize: 24, checksum: 28 }
const recordOffsets = { length: 0, batchStart: 4, sequence: 8, checksum: 16 }

/** Decoded header of a segment. @internal */
export interface SegmentHeader {
  /** Sequence number of its first record. */
  readonly first: number
  /** Records with lower sequence numbers are dropped, even if a segment still contains them. */
  readonly floor: number
  /** Number of bytes that were synced before the file was renamed into place. */
  readonly syncedSize: number
}

/** Decoded header of a record. @internal */
export interface RecordHeader {
  readonly length: number
  /** File offset of the start of the batch that contains the record. */
  readonly batchStart: number
  readonly sequence: number
}

/** Why a header could not be read. @internal */
export enum HeaderFault {
  Damaged = 'damaged',
  TooNew = 'too_new',
}

export function encodeSegmentHeader(header: SegmentHeader, version = SEGMENT_VERSION): Buffer {
  const bytes = Buffer.alloc(SEGMENT_HEADER_SIZE)
  bytes.writeUInt32BE(SEGMENT_MAGIC, headerOffsets.magic)
  bytes.writeUInt32BE(version, headerOffsets.version)
  bytes.writeBigUInt64BE(BigInt(header.first), headerOffsets.first)
  bytes.writeBigUInt64BE(BigInt(header.floor), headerOffsets.floor)
  bytes.writeUInt32BE(header.syncedSize, headerOffsets.syncedSize)
  bytes.writeUInt32BE(crc32(bytes.subarray(0, headerOffsets.checksum)), headerOffsets.checksum)
  return bytes
}

export function decodeSegmentHeader(bytes: Buffer): SegmentHeader | HeaderFault {
  if (bytes.length < SEGMENT_HEADER_SIZE) return HeaderFault.Damaged
  if (bytes.readUInt32BE(headerOffsets.magic) !== SEGMENT_MAGIC) return HeaderFault.Damaged
  // The checksum has the same offset in every version, so corruption is never mistaken for a newer
  // version.
  const checksum = crc32(bytes.subarray(0, headerOffsets.checksum))
  if (bytes.readUInt32BE(headerOffsets.checksum) !== checksum) return HeaderFault.Damaged
  if (bytes.readUInt32BE(headerOffsets.version) > SEGMENT_VERSION) return HeaderFault.TooNew
  return {
    first: Number(bytes.readBigUInt64BE(headerOffsets.first)),
    floor: Number(bytes.readBigUInt64BE(headerOffsets.floor)),
    syncedSize: bytes.readUInt32BE(headerOffsets.syncedSize),
  }
}

/** The checksum covers the header fields before it and the payload after it. */
function recordChecksum(record: Buffer): number {
  const head = crc32(record.subarray(0, recordOffsets.checksum))
  return crc32(record.subarray(RECORD_HEADER_SIZE), head)
}

export function encodeRecord(payload: Uint8Array, batchStart: number, sequence: number): Buffer {
  const bytes = Buffer.alloc(RECORD_HEADER_SIZE + payload.length)
  bytes.writeUInt32BE(payload.length, recordOffsets.length)
  bytes.writeUInt32BE(batchStart, recordOffsets.batchStart)
  bytes.writeBigUInt64BE(BigInt(sequence), recordOffsets.sequence)
  bytes.set(payload, RECORD_HEADER_SIZE)
  bytes.writeUInt32BE(recordChecksum(bytes), recordOffsets.checksum)
  return bytes
}

/** Encodes records written together; `batchStart` is the first one's file offset. @internal */
export function encodeBatch(
  payloads: readonly Uint8Array[],
  batchStart: number,
  firstSequence: number,
): Buffer {
  return Buffer.concat(
    payloads.map((payload, i) => encodeRecord(payload, batchStart, firstSequence + i)),
  )
}

/** Encodes a complete segment file. @internal */
export function encodeSegment(
  first: number,
  floor: number,
  payloads: readonly Uint8Array[],
): Buffer {
  const batch = encodeBatch(payloads, SEGMENT_HEADER_SIZE, first)
  const syncedSize = SEGMENT_HEADER_SIZE + batch.length
  return Buffer.concat([encodeSegmentHeader({ first, floor, syncedSize }), batch])
}

/** Reads a record header without verifying its checksum; undefined if the file is too short. */
export function peekRecordHeader(bytes: Buffer, at: number): RecordHeader | undefined {
  if (at + RECORD_HEADER_SIZE > bytes.length) return undefined
  const length = bytes.readUInt32BE(at + recordOffsets.length)
  if (at + RECORD_HEADER_SIZE + length > bytes.length) return undefined
  return {
    length,
    batchStart: bytes.readUInt32BE(at + recordOffsets.batchStart),
    sequence: Number(bytes.readBigUInt64BE(at + recordOffsets.sequence)),
  }
}

/** Whether the checksum of the record at this offset matches. */
export function isRecordValid(bytes: Buffer, at: number, length: number): boolean {
  const record = bytes.subarray(at, at + RECORD_HEADER_SIZE + length)
  return record.readUInt32BE(recordOffsets.checksum) === recordChecksum(record)
}
