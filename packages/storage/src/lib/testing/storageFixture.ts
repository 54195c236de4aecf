import { Effect, Result } from 'effect'
import type { Disk } from '../disk/Disk'
import type { StorageError } from '../errors/StorageError'
import { RecordLog } from '../log/RecordLog'

/** Small enough that a few records fill several segments. */
export const SMALL_SEGMENTS = { segmentBytes: 80 }

export const LOG_NAME = 'log'

export function run<A>(effect: Effect.Effect<A, StorageError>): Promise<A> {
  return Effect.runPromise(effect)
}

/** Runs an effect that must fail, and returns its error. */
export async function errorOf(effect: Effect.Effect<unknown, StorageError>): Promise<StorageError> {
  const outcome = await Effect.runPromise(Effect.result(effect))
  if (Result.isSuccess(outcome)) throw new Error('expected the effect to fail, but it succeeded')
  return outcome.failure
}

export function toRecords(texts: readonly string[]): Uint8Array[] {
  return texts.map((text) => Buffer.from(text))
}

export function toTexts(records: readonly Uint8Array[]): string[] {
  return records.map((record) => Buffer.from(record).toString())
}

export function openLog(disk: Disk): Promise<RecordLog> {
  return run(RecordLog.open(disk, LOG_NAME, SMALL_SEGMENTS))
}

/** Reopens the log, as after a process restart, and returns its records. */
export async function readLog(disk: Disk): Promise<string[]> {
  return toTexts((await openLog(disk)).records)
}

/** Appends each list of texts as one batch. */
export async function appendAll(
  log: RecordLog,
  ...batches: readonly (readonly string[])[]
): Promise<void> {
  for (const batch of batches) await run(log.append(toRecords(batch)))
}
