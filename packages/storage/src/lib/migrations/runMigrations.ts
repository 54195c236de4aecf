import { Err, Ok } from '@cherryhitch/model'
import type { Result } from 'ts-results'
import { StorageErrorKind, storageError } from '../errors/StorageError'
import type { StorageError } from '../errors/StorageError'

/** Converts a stored record from one format version to the next. @public */
export interface Migration {
  /** The version that it reads; it writes the following version. */
  readonly from: number
  /** Description of the change, for log output. */
  readonly description: string
  readonly migrate: (content: Uint8Array) => Uint8Array
}

/** Content of a stored record and its format version. @public */
export interface VersionedContent {
  readonly version: number
  readonly content: Uint8Array
}

const VERSION_SIZE = 2

/** The version that a list of migrations produces, which is the one to write. @internal */
export function newestVersion(migrations: readonly Migration[], oldest = 1): number {
  return migrations.reduce((version, { from }) => Math.max(version, from + 1), oldest)
}

/** Encodes a record for storage: its content, prefixed with its version. @public */
export function packVersioned({ version, content }: VersionedContent): Uint8Array {
  const bytes = Buffer.alloc(VERSION_SIZE + content.length)
  bytes.writeUInt16BE(version)
  bytes.set(content, VERSION_SIZE)
  return bytes
}

/** Reads what {@link packVersioned} wrote; `where` names the record in errors. @internal */
export function unpackVersioned(
  bytes: Uint8Array,
  where: string,
): Result<VersionedContent, StorageError> {
  if (bytes.length < VERSION_SIZE) {
    return Err(storageError(StorageErrorKind.Damaged, where, 'the record has no version'))
  }
  const version = Buffer.from(bytes.buffer, bytes.byteOffset).readUInt16BE()
  return Ok({ version, content: bytes.subarray(VERSION_SIZE) })
}

/**
 * Migrates a stored record to the newest version.
 *
 * @param migrations - without gaps; the order of the list does not matter
 * @param where - names the record in errors
 * @returns the content; an error of kind `TooNew` for a version above the newest, of kind
 *   `Damaged` if a migration is missing
 * @internal
 */
export function runMigrations(
  stored: VersionedContent,
  migrations: readonly Migration[],
  where: string,
): Result<Uint8Array, StorageError> {
  const newest = newestVersion(migrations)
  if (stored.version > newest) {
    const detail = `the record has version ${stored.version}, this program knows up to ${newest}`
    return Err(storageError(StorageErrorKind.TooNew, where, detail))
  }
  let content = stored.content
  for (let version = stored.version; version < newest; version++) {
    const migration = migrations.find(({ from }) => from === version)
    if (migration === undefined) {
      const detail = `the record has version ${stored.version}, and nothing reads version ${version}`
      return Err(storageError(StorageErrorKind.Damaged, where, detail))
    }
    content = migration.migrate(content)
  }
  return Ok(content)
}

/** Encodes a record for storage: newest-format content, prefixed with its version. @public */
export function packNewest(content: Uint8Array, migrations: readonly Migration[]): Uint8Array {
  return packVersioned({ version: newestVersion(migrations), content })
}

/**
 * Decodes a stored record and migrates its content to the newest format.
 *
 * @param migrations - without gaps; the order of the list does not matter
 * @param where - names the record in errors
 * @returns the content; an error of kind `Damaged` or `TooNew` for a record that cannot be read
 * @public
 */
export function unpackNewest(
  bytes: Uint8Array,
  migrations: readonly Migration[],
  where: string,
): Result<Uint8Array, StorageError> {
  return unpackVersioned(bytes, where).andThen((stored) => runMigrations(stored, migrations, where))
}
