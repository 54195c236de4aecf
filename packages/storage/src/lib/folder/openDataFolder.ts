import fs from 'node:fs/promises'
import path from 'node:path'
import { Effect } from 'effect'
import type { Scope } from 'effect'
import { RealDisk } from '../disk/RealDisk'
import { StorageErrorKind } from '../errors/StorageError'
import type { StorageError } from '../errors/StorageError'
import { fromSystemError } from '../errors/fromSystemError'
import { acquireLock } from './lockFile'

/** @public */
export interface DataFolder {
  readonly disk: RealDisk
}

/** Creates the folder and syncs its parent, so that the new folder entry is durable. */
function createFolder(folder: string): Effect.Effect<void, StorageError> {
  return Effect.tryPromise({
    try: async () => {
      const created = await fs.mkdir(folder, { recursive: true })
      if (created === undefined) return
      const parent = await fs.open(path.dirname(created), 'r')
      await parent.sync().finally(() => parent.close())
    },
    catch: (err) => fromSystemError(err, folder, StorageErrorKind.WriteFailed),
  })
}

/**
 * Opens the data folder of an instance: creates it if missing and locks it against other processes.
 * The lock and open files are released when the scope closes.
 *
 * @param folder - path of the folder; missing parents are created
 * @public
 */
export function openDataFolder(
  folder: string,
): Effect.Effect<DataFolder, StorageError, Scope.Scope> {
  return Effect.gen(function* () {
    const absolute = path.resolve(folder)
    yield* createFolder(absolute)
    yield* acquireLock(absolute)
    const disk = new RealDisk(absolute)
    yield* Effect.addFinalizer(() => disk.close())
    return { disk }
  })
}
