import fs from 'node:fs/promises'
import path from 'node:path'
import { Effect } from 'effect'
import type { Scope } from 'effect'
import { StorageErrorKind, storageError } from '../errors/StorageError'
import type { StorageError } from '../errors/StorageError'
import { fromSystemError, systemErrorCode } from '../errors/fromSystemError'
import { identify, isAlive } from './processIdentity'
import type { ProcessIdentity } from './processIdentity'

const lockPattern = /^lock\.(\d{1,15})$/

/** Makes temporary file names unique when one process opens a folder several times. */
let openings = 0

/** The acquired lock, or the process that holds it. */
type Outcome =
  | { readonly taken: true; readonly number: number }
  | { readonly taken: false; readonly holder: ProcessIdentity }

function lockPath(folder: string, number: number): string {
  return path.join(folder, `lock.${number}`)
}

async function listLocks(folder: string): Promise<readonly number[]> {
  const names = await fs.readdir(folder)
  return names.map((name) => Number(lockPattern.exec(name)?.[1] ?? 0)).filter((n) => n > 0)
}

/** The process that holds a lock; undefined if the lock is released, missing or unreadable. */
async function readHolder(lock: string): Promise<ProcessIdentity | undefined> {
  const text = await fs.readFile(lock, 'utf8').catch(() => '')
  try {
    const { pid, startedAt = '', machineBoot = '' } = JSON.parse(text) as Partial<ProcessIdentity>
    return pid === undefined ? undefined : { pid, startedAt, machineBoot }
  } catch {
    return undefined
  }
}

/** Hard-links a fully written file as the lock; false if another process was faster. */
async function linkLock(own: string, lock: string): Promise<boolean> {
  try {
    await fs.link(own, lock)
    return true
  } catch (err) {
    if (systemErrorCode(err) === 'EEXIST') return false
    throw err
  }
}

/**
 * Tries to create the lock file with the next number after the highest one.
 *
 * The highest lock is never removed and a dead holder never runs again, so at most one process
 * creates the next number. A process that created a lower number from an outdated listing sees the
 * higher one when it lists the folder again.
 *
 * @returns undefined if another process was faster; the caller must retry
 */
async function takeNext(folder: string, own: string): Promise<Outcome | undefined> {
  const highest = Math.max(0, ...(await listLocks(folder)))
  const holder = highest > 0 ? await readHolder(lockPath(folder, highest)) : undefined
  if (holder !== undefined && (await isAlive(holder))) return { taken: false, holder }
  const number = highest + 1
  if (!(await linkLock(own, lockPath(folder, number)))) return undefined
  const locks = await listLocks(folder)
  if (locks.some((other) => other > number)) {
    await fs.rm(lockPath(folder, number), { force: true })
    return undefined
  }
  const older = locks.filter((other) => other < number)
  for (const other of older) await fs.rm(lockPath(folder, other), { force: true })
  return { taken: true, number }
}

async function take(folder: string): Promise<Outcome> {
  const own = path.join(folder, `lock-${process.pid}-${++openings}.tmp`)
  await fs.writeFile(own, JSON.stringify(await identify(process.pid)))
  try {
    for (;;) {
      const outcome = await takeNext(folder, own)
      if (outcome !== undefined) return outcome
    }
  } finally {
    await fs.rm(own, { force: true })
  }
}

/**
 * Locks a data folder for this process until the scope closes. The lock of a dead process, or of
 * one from before the last boot, is taken over. A released lock remains as an empty file.
 *
 * @internal
 */
export function acquireLock(folder: string): Effect.Effect<number, StorageError, Scope.Scope> {
  const acquire = Effect.gen(function* () {
    const outcome = yield* Effect.tryPromise({
      try: () => take(folder),
      catch: (err) => fromSystemError(err, folder, StorageErrorKind.WriteFailed),
    })
    if (outcome.taken) return outcome.number
    const detail = `the data folder is in use by process ${outcome.holder.pid}`
    return yield* Effect.fail(storageError(StorageErrorKind.Locked, folder, detail))
  })
  // An error here leaves the lock in place; the next process takes it over once this one exits.
  return Effect.acquireRelease(acquire, (number) =>
    Effect.promise(() => fs.truncate(lockPath(folder, number)).catch(() => undefined)),
  )
}
