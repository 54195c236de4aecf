import { crc32 } from 'node:zlib'

/** `CHLG` in the first four bytes. */
export const SEGMENT_MAGIC = 0x43484c47
export const SEGMENT_VERSION = 1
export const SEGMENT_HEADER_SIZE = 32
export const RECORD_HEADER_SIZE = 20

const headerOffsets = { magic: 0, version: 4, first: 8, floor: 16, syncedSize: 24, checksum: 28 }
const recordOffsets = { length: 0, batchStart: 4, sequence: 8, checksum: 16 }

/** What the header of a segment says. @internal */
export interface SegmentHeader {
  /** Number of its first record, counted from the start of the log. */
  readonly first: number
  /** Records with lower numbers are dropped, wherever they still stand. */
  readonly floor: number
  /** Bytes that were on the disk before the file got its name. */
  readonly syncedSize: number
}

/** What the header of a record says. @internal */
export interface RecordHeader {
  readonly length: number
  /** Where in the file the batch starts that the record was written with. */
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
  // Every version keeps the place of the checksum, so damage is never taken for a newer version.
  const checksum = crc32(bytes.subarray(0, headerOffsets.checksum))
  if (bytes.readUInt32BE(headerOffsets.checksum) !== checksum) return HeaderFault.Damaged
  if (bytes.readUInt32BE(headerOffsets.version) > SEGMENT_VERSION) return HeaderFault.TooNew
  return {
    first: Number(bytes.readBigUInt64BE(headerOffsets.first)),
    floor: Number(bytes.readBigUInt64BE(headerOffsets.floor)),
    syncedSize: bytes.readUInt32BE(headerOffsets.syncedSize),
  }
}

/** The checksum covers the record's header before it and the payload after it. */
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

/** Encodes records that are written together; the first one lands at `batchStart`. @internal */
export function encodeBatch(
  payloads: readonly Uint8Array[],
  batchStart: number,
  firstSequence: number,
): Buffer {
  return Buffer.concat(
    payloads.map((payload, i) => encodeRecord(payload, batchStart, firstSequence + i)),
  )
}

/** Encodes a segment that is put in place as a whole. @internal */
export function encodeSegment(
  first: number,
  floor: number,
  payloads: readonly Uint8Array[],
): Buffer {
  const batch = encodeBatch(payloads, SEGMENT_HEADER_SIZE, first)
  const syncedSize = SEGMENT_HEADER_SIZE + batch.length
  return Buffer.concat([encodeSegmentHeader({ first, floor, syncedSize }), batch])
}

/** Reads the header of a record without its checksum; undefined when the file is too short. */
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

/** Whether the checksum of the record at this place is right. */
export function isRecordSound(bytes: Buffer, at: number, length: number): boolean {
  const record = bytes.subarray(at, at + RECORD_HEADER_SIZE + length)
  return record.readUInt32BE(recordOffsets.checksum) === recordChecksum(record)
}
