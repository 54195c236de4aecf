import { crc32 } from 'node:zlib'
import { Effect } from 'effect'
import type { Disk } from '../disk/Disk'
import { StorageError, StorageErrorKind, storageError } from '../errors/StorageError'
import { replaceFile } from './replaceFile'

/** `CHDF` in the first four bytes. */
const MAGIC = 0x43484446
const FORMAT_VERSION = 1
const HEADER_SIZE = 16
const offsets = { magic: 0, version: 4, length: 8, checksum: 12 }

/** The checksum covers the header fields before it and the content after it. */
function checksumOf(bytes: Uint8Array): number {
  const head = crc32(bytes.subarray(0, offsets.checksum))
  return crc32(bytes.subarray(HEADER_SIZE), head)
}

function encode(content: Uint8Array): Uint8Array {
  const bytes = Buffer.alloc(HEADER_SIZE + content.length)
  bytes.writeUInt32BE(MAGIC, offsets.magic)
  bytes.writeUInt32BE(FORMAT_VERSION, offsets.version)
  bytes.writeUInt32BE(content.length, offsets.length)
  bytes.set(content, HEADER_SIZE)
  bytes.writeUInt32BE(checksumOf(bytes), offsets.checksum)
  return bytes
}

function decode(name: string, stored: Uint8Array): Effect.Effect<Uint8Array, StorageError> {
  const bytes = Buffer.from(stored.buffer, stored.byteOffset, stored.byteLength)
  const damaged = (what: string) => Effect.fail(storageError(StorageErrorKind.Damaged, name, what))
  if (bytes.length < HEADER_SIZE) return damaged(`the file has only ${bytes.length} bytes`)
  if (bytes.readUInt32BE(offsets.magic) !== MAGIC) return damaged('unexpected magic number')
  // The checksum has the same offset in every version, so corruption is never mistaken for a newer
  // version.
  if (bytes.readUInt32BE(offsets.checksum) !== checksumOf(bytes)) {
    return damaged('the checksum does not match')
  }
  const version = bytes.readUInt32BE(offsets.version)
  if (version > FORMAT_VERSION) {
    const detail = `the file has format version ${version}, this program knows up to ${FORMAT_VERSION}`
    return Effect.fail(storageError(StorageErrorKind.TooNew, name, detail))
  }
  return Effect.succeed(new Uint8Array(bytes.subarray(HEADER_SIZE)))
}

/**
 * A small file that is replaced as a whole, such as a voter's term and vote, or a snapshot.
 *
 * After a failed write it is unknown which content would survive a crash, so after any failure reads
 * and writes are rejected until a new object is created.
 *
 * @public
 */
export class DurableFile {
  private failure: StorageError | undefined
  private nameIsSynced = false

  constructor(
    private readonly disk: Disk,
    private readonly name: string,
  ) {}

  /** The content of the last write; undefined if the file was never written. */
  read(): Effect.Effect<Uint8Array | undefined, StorageError> {
    return this.guarded(
      Effect.gen({ self: this }, function* () {
        // An earlier process may have died between rename and folder sync; without a sync here, a
        // crash could revert the content after it was read.
        if (!this.nameIsSynced) yield* this.disk.syncFolder()
        this.nameIsSynced = true
        const stored = yield* this.disk.read(this.name)
        if (stored === undefined) return undefined
        return yield* decode(this.name, stored)
      }),
    )
  }

  /** Completes once the content is durable; an earlier crash leaves the old or the new content. */
  write(content: Uint8Array): Effect.Effect<void, StorageError> {
    return this.guarded(Effect.suspend(() => replaceFile(this.disk, this.name, encode(content))))
  }

  private guarded<A>(run: Effect.Effect<A, StorageError>): Effect.Effect<A, StorageError> {
    const recorded = Effect.tapError(run, (err) =>
      Effect.sync(() => {
        this.failure ??= err
      }),
    )
    return Effect.uninterruptible(
      Effect.suspend(() => (this.failure === undefined ? recorded : Effect.fail(this.refusal()))),
    )
  }

  private refusal(): StorageError {
    const detail = 'not tried, since an earlier operation on this file failed'
    return new StorageError({
      kind: StorageErrorKind.Stopped,
      file: this.name,
      detail,
      cause: this.failure,
    })
  }
}
