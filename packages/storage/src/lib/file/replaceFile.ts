import { Effect } from 'effect'
import type { Disk } from '../disk/Disk'
import type { StorageError } from '../errors/StorageError'

/** Ending of files that are being written; what a crash leaves of them is never read. @internal */
export const TEMPORARY_SUFFIX = '.tmp'

/**
 * Puts a file in place whole or not at all: write, sync, rename, sync the folder.
 *
 * @internal
 */
export function replaceFile(
  disk: Disk,
  name: string,
  bytes: Uint8Array,
): Effect.Effect<void, StorageError> {
  const temporary = name + TEMPORARY_SUFFIX
  return Effect.gen(function* () {
    yield* disk.writeNew(temporary, bytes)
    yield* disk.sync(temporary)
    yield* disk.rename(temporary, name)
    yield* disk.syncFolder()
  })
}
