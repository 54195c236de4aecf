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

/** Makes the folder, and sees to it that its name in the parent folder lasts. */
function makeFolder(folder: string): Effect.Effect<void, StorageError> {
  return Effect.tryPromise({
    try: async () => {
      const made = await fs.mkdir(folder, { recursive: true })
      if (made === undefined) return
      const parent = await fs.open(path.dirname(made), 'r')
      await parent.sync().finally(() => parent.close())
    },
    catch: (err) => fromSystemError(err, folder, StorageErrorKind.WriteFailed),
  })
}

/**
 * Opens the data folder of an instance: makes it when it is missing and locks it against other
 * processes. Lock and open files are released with the scope.
 *
 * @param folder - path of the folder; its parents are made too
 * @public
 */
export function openDataFolder(
  folder: string,
): Effect.Effect<DataFolder, StorageError, Scope.Scope> {
  return Effect.gen(function* () {
    const absolute = path.resolve(folder)
    yield* makeFolder(absolute)
    yield* acquireLock(absolute)
    const disk = new RealDisk(absolute)
    yield* Effect.addFinalizer(() => disk.close())
    return { disk }
  })
}
