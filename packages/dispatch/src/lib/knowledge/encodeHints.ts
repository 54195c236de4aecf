import type { EndpointSpeedSample, ModelSample, RunTimeSample } from '@cherryhitch/policy'
import { create } from '@bufbuild/protobuf'
import { LeaderHintsSchema } from '@cherryhitch/protocol'
import type { LeaderHints } from '@cherryhitch/protocol'
import type { LearntSamples } from './LearntSamples'

/** Version of the message; receivers ignore others. @internal */
export const HINTS_VERSION = 1
/** Values are rounded to a ten-thousandth, far below what decisions can tell apart. */
const ROUNDING = 10_000

type ModelRow = readonly [count: number, center: number, variance: number]

/** A sample as it is sent. @internal */
export type RunTimeRow = readonly [
  caller: string | null,
  service: string,
  ageMs: number,
  absolute: ModelRow,
  ratio: ModelRow,
  absoluteError: number,
  ratioError: number,
  comparisons: number,
]

/** A sample as it is sent. @internal */
export type SpeedRow = readonly [endpoint: string, service: string, runs: number, logRatio: number]

/** Encodes what the leader of a term has learnt. @internal */
export function encodeHints(term: number, { runTimes, speeds }: LearntSamples): LeaderHints {
  const entries = JSON.stringify([runTimes.map(runTimeRow), speeds.map(speedRow)])
  return create(LeaderHintsSchema, { version: HINTS_VERSION, term, entries })
}

/** @internal */
export function runTimeRow(sample: RunTimeSample): RunTimeRow {
  const { caller = null, service, ageMs, absolute, ratio } = sample
  const { absoluteError, ratioError, comparisons } = sample
  return [
    caller,
    service,
    round(ageMs),
    modelRow(absolute),
    modelRow(ratio),
    round(absoluteError),
    round(ratioError),
    round(comparisons),
  ]
}

/** @internal */
export function speedRow({ endpoint, service, runs, logRatio }: EndpointSpeedSample): SpeedRow {
  return [endpoint, service, round(runs), round(logRatio)]
}

/** Encoded size of a row and its separator, in bytes. @internal */
export function rowBytes(row: RunTimeRow | SpeedRow): number {
  return Buffer.byteLength(JSON.stringify(row)) + 1
}

function modelRow({ count, center, variance }: ModelSample): ModelRow {
  return [round(count), round(center), round(variance)]
}

function round(value: number): number {
  return Math.round(value * ROUNDING) / ROUNDING
}
