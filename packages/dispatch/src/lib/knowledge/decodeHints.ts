import type { LeaderHints } from '@cherryhitch/protocol'
import type { EndpointSpeedSample, ModelSample, RunTimeSample } from '@cherryhitch/policy'
import { HINTS_VERSION } from './encodeHints'
import type { LearntSamples } from './LearntSamples'
import { isPlausibleRunTime, isPlausibleSpeed } from './plausibleSamples'

/** Entries accepted from one message, several times as many as a leader sends. */
const MAX_ENTRIES = 1_000
/** Longest text that is read at all, in characters; a leader sends an eighth of it at most. */
const MAX_TEXT_LENGTH = 65_536

/** The usable entries of a message. @internal */
export interface DecodedHints extends LearntSamples {
  /** Entries that were left out because their values are impossible or there were too many. */
  readonly dropped: number
}

/**
 * Decodes what another instance says that it has learnt as a leader.
 *
 * @returns undefined for a message of another version, with an impossible term or an unreadable text
 * @internal
 */
export function decodeHints({ version, term, entries }: LeaderHints): DecodedHints | undefined {
  if (version !== HINTS_VERSION || !Number.isSafeInteger(term) || term < 0) return undefined
  const rows = parseRows(entries)
  if (rows === undefined) return undefined
  const [runTimeRows, speedRows] = rows
  const runTimes = runTimeRows
    .slice(0, MAX_ENTRIES)
    .flatMap((row) => decodeRunTime(row) ?? [])
    .filter(isPlausibleRunTime)
  const speeds = speedRows
    .slice(0, MAX_ENTRIES - runTimes.length)
    .flatMap((row) => decodeSpeed(row) ?? [])
    .filter(isPlausibleSpeed)
  const sent = runTimeRows.length + speedRows.length
  return { runTimes, speeds, dropped: sent - runTimes.length - speeds.length }
}

function parseRows(text: string): [unknown[], unknown[]] | undefined {
  if (text.length > MAX_TEXT_LENGTH) return undefined
  try {
    const parsed: unknown = JSON.parse(text)
    if (!Array.isArray(parsed)) return undefined
    const [runTimes, speeds] = parsed as unknown[]
    return Array.isArray(runTimes) && Array.isArray(speeds) ? [runTimes, speeds] : undefined
  } catch {
    // The caller logs that the message is unreadable.
    return undefined
  }
}

function decodeRunTime(row: unknown): RunTimeSample | undefined {
  if (!Array.isArray(row)) return undefined
  const [caller, service, ageMs, absolute, ratio, ...more] = row as unknown[]
  if (typeof service !== 'string' || (caller !== null && typeof caller !== 'string')) {
    return undefined
  }
  const [absoluteError, ratioError, comparisons] = more
  return {
    caller: caller ?? undefined,
    service,
    ageMs: numberOf(ageMs),
    absolute: decodeModel(absolute),
    ratio: decodeModel(ratio),
    absoluteError: numberOf(absoluteError),
    ratioError: numberOf(ratioError),
    comparisons: numberOf(comparisons),
  }
}

function decodeSpeed(row: unknown): EndpointSpeedSample | undefined {
  if (!Array.isArray(row)) return undefined
  const [endpoint, service, runs, logRatio] = row as unknown[]
  if (typeof endpoint !== 'string' || typeof service !== 'string') return undefined
  return { endpoint, service, runs: numberOf(runs), logRatio: numberOf(logRatio) }
}

function decodeModel(row: unknown): ModelSample {
  const [count, center, variance] = Array.isArray(row) ? (row as unknown[]) : []
  return { count: numberOf(count), center: numberOf(center), variance: numberOf(variance) }
}

/** NaN, which is never plausible, for anything but a number. */
function numberOf(value: unknown): number {
  return typeof value === 'number' ? value : NaN
}
