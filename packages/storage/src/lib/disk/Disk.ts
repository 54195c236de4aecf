import type { Effect } from 'effect'
import type { StorageError } from '../errors/StorageError'

/** An operation of a {@link Disk}; fault tables and counters name them by it. @public */
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
 * Nothing lasts before it is synced: the bytes of a file by `sync`, and its name (new, renamed or
 * removed) by `syncFolder`.
 *
 * @public
 */
export abstract class Disk {
  /** The whole file; undefined when there is none. */
  abstract read(name: string): Effect.Effect<Uint8Array | undefined, StorageError>

  /** Names of all files, sorted. */
  abstract list(): Effect.Effect<readonly string[], StorageError>

  /** Adds bytes at the end of a file that exists. */
  abstract append(name: string, bytes: Uint8Array): Effect.Effect<void, StorageError>

  /** Done when the bytes and the size of the file are on the disk. */
  abstract sync(name: string): Effect.Effect<void, StorageError>

  /** Renames a file, atomically in place of one that has the new name already. */
  abstract rename(from: string, to: string): Effect.Effect<void, StorageError>

  /** Removes a file; no error when there is none. */
  abstract remove(name: string): Effect.Effect<void, StorageError>

  /** Done when all names of the folder are on the disk. */
  abstract syncFolder(): Effect.Effect<void, StorageError>

  /** Writes a new file, without syncing it; a file that had the name is removed first. */
  abstract writeNew(name: string, bytes: Uint8Array): Effect.Effect<void, StorageError>
}
