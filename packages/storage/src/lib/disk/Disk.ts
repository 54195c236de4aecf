import type { Effect } from 'effect'
import type { StorageError } from '../errors/StorageError'

/** An operation of a {@link Disk}, as named in fault tables and counters. @public */
export enum DiskOperation {
  Read = 'read',
  List = 'list',
  Append = 'append',
  Sync = 'sync',
  Rename = 'rename',
  Remove = 'remove',
  SyncFolder = 'sync_folder',
  WriteNew = 'write_new',
}

/**
 * The file operations of one data folder. Names are plain file names in it.
 *
 * Nothing is durable before it is synced: `sync` covers the bytes of a file, `syncFolder` its name
 * (created, renamed or removed).
 *
 * @public
 */
export abstract class Disk {
  /** Reads a whole file; undefined if it does not exist. */
  abstract read(name: string): Effect.Effect<Uint8Array | undefined, StorageError>

  /** Names of all files, sorted. */
  abstract list(): Effect.Effect<readonly string[], StorageError>

  /** Appends bytes to an existing file. */
  abstract append(name: string, bytes: Uint8Array): Effect.Effect<void, StorageError>

  /** Completes once the bytes and the size of the file are durable. */
  abstract sync(name: string): Effect.Effect<void, StorageError>

  /** Renames a file, atomically replacing any file that has the new name. */
  abstract rename(from: string, to: string): Effect.Effect<void, StorageError>

  /** Removes a file; no error if it does not exist. */
  abstract remove(name: string): Effect.Effect<void, StorageError>

  /** Completes once all file names of the folder are durable. */
  abstract syncFolder(): Effect.Effect<void, StorageError>

  /** Writes a new file without syncing it; an existing file of that name is removed first. */
  abstract writeNew(name: string, bytes: Uint8Array): Effect.Effect<void, StorageError>
}
