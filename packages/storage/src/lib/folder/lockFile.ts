import fs from 'node:fs/promises'
import path from 'node:path'
import { Effect } from 'effect'
import type { Scope } from 'effect'
import { StorageErrorKind, storageError } from '../errors/StorageError'
import type { StorageError } from '../errors/StorageError'
import { fromSystemError, systemErrorCode } from '../errors/fromSystemError'
import { identify, isAlive } from './processIdentity'
import type { ProcessIdentity } from './processIdentity'

const LOCK_NAME = 'lock'
/** Attempts to take a lock over while other processes do the same. */
const MAX_ATTEMPTS = 3
/** Keeps apart several openings in one process. */
let openings = 0

/** Links a finished file to the name of the lock; false when there is a lock already. */
async function linkLock(own: string, lock: string): Promise<boolean> {
  try {
    await fs.link(own, lock)
    return true
  } catch (err) {
    if (systemErrorCode(err) === 'EEXIST') return false
    throw err
  }
}

/** Who holds the lock; undefined when it is gone or was not written by this program. */
async function readHolder(lock: string): Promise<ProcessIdentity | undefined> {
  const text = await fs.readFile(lock, 'utf8').catch(() => '')
  try {
    const holder = JSON.parse(text) as Partial<ProcessIdentity> | null
    if (typeof holder?.pid !== 'number') return undefined
    return {
      pid: holder.pid,
      startedAt: holder.startedAt ?? '',
      machineBoot: holder.machineBoot ?? '',
    }
  } catch {
    return undefined
  }
}

/**
 * Moves a lock aside whose holder is dead. Another process may have put its own there since it
 * was read: that one is put back.
 */
async function moveAside(lock: string, aside: string): Promise<void> {
  try {
    await fs.rename(lock, aside)
  } catch (err) {
    if (systemErrorCode(err) === 'ENOENT') return
    throw err
  }
  const moved = await readHolder(aside)
  if (moved !== undefined && (await isAlive(moved))) await linkLock(aside, lock)
  await fs.rm(aside, { force: true })
}

/** Takes the lock; undefined when done, else who holds it. */
async function takeLock(folder: string): Promise<ProcessIdentity | undefined> {
  const lock = path.join(folder, LOCK_NAME)
  const own = `${lock}.${process.pid}.${++openings}`
  await fs.writeFile(own, JSON.stringify(await identify(process.pid)))
  try {
    for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
      if (await linkLock(own, lock)) return undefined
      const holder = await readHolder(lock)
      if (holder !== undefined && (await isAlive(holder))) return holder
      await moveAside(lock, `${own}.stale`)
    }
    return await readHolder(lock)
  } finally {
    await fs.rm(own, { force: true })
  }
}

/**
 * Locks a data folder for this process until the scope ends. The lock of a dead process, or of
 * one from before the machine's last start, is taken over.
 *
 * @internal
 */
export function acquireLock(folder: string): Effect.Effect<void, StorageError, Scope.Scope> {
  const take = Effect.gen(function* () {
    const holder = yield* Effect.tryPromise({
      try: () => takeLock(folder),
      catch: (err) => fromSystemError(err, folder, StorageErrorKind.WriteFailed),
    })
    if (holder === undefined) return
    const detail = `the data folder is in use by process ${holder.pid}`
    return yield* Effect.fail(storageError(StorageErrorKind.Locked, folder, detail))
  })
  const release = Effect.promise(() => fs.rm(path.join(folder, LOCK_NAME), { force: true }))
  return Effect.acquireRelease(take, () => release)
}
