import { Effect } from 'effect'
import type { Disk } from '../disk/Disk'
import type { StorageError } from '../errors/StorageError'

/** Suffix of files that are being written; leftovers after a crash are never read. @internal */
export const TEMPORARY_SUFFIX = '.tmp'

/**
 * Replaces a file atomically: write a temporary file, sync it, rename it, sync the folder.
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
