import type { LeaderHints, RunTimeHint, RunTimeModelHint } from '@cherryhitch/protocol'
import type { ModelSample, RunTimeSample } from '@cherryhitch/policy'
import { HINTS_VERSION } from './encodeHints'
import type { LearntSamples } from './LearntSamples'
import { isPlausibleRunTime, isPlausibleSpeed } from './plausibleSamples'

/** Entries accepted from one message; a leader sends a fifth of it at most. */
const MAX_ENTRIES = 1_000

/** The usable entries of a message. @internal */
export interface DecodedHints extends LearntSamples {
  /** Entries that were left out because their values are impossible or there were too many. */
  readonly dropped: number
}

/**
 * Decodes what another instance says that it has learnt as a leader.
 *
 * @returns undefined for a message of another version or with an impossible term
 * @internal
 */
export function decodeHints(message: LeaderHints): DecodedHints | undefined {
  const { version, term } = message
  if (version !== HINTS_VERSION || !Number.isSafeInteger(term) || term < 0) return undefined
  const runTimes = message.runTimes
    .slice(0, MAX_ENTRIES)
    .map((hint) => decodeRunTime(hint))
    .filter((sample) => isPlausibleRunTime(sample))
  const speeds = message.speeds
    .slice(0, MAX_ENTRIES - runTimes.length)
    .filter((sample) => isPlausibleSpeed(sample))
  const sent = message.runTimes.length + message.speeds.length
  return { runTimes, speeds, dropped: sent - runTimes.length - speeds.length }
}

function decodeRunTime(hint: RunTimeHint): RunTimeSample {
  const { route: caller, service, ageMs, absoluteError, ratioError, comparisons } = hint
  const [absolute, ratio] = [decodeModel(hint.absolute), decodeModel(hint.ratio)]
  return { caller, service, ageMs, absolute, ratio, absoluteError, ratioError, comparisons }
}

function decodeModel(hint: RunTimeModelHint | undefined): ModelSample {
  const { count = 0, center = 0, variance = 0 } = hint ?? {}
  return { count, center, variance }
}
