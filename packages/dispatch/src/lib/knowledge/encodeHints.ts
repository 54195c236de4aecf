import { create } from '@bufbuild/protobuf'
import { LeaderHintsSchema } from '@cherryhitch/protocol'
import type { LeaderHints } from '@cherryhitch/protocol'
import type { EndpointSpeedSample, RunTimeSample } from '@cherryhitch/policy'
import type { LearntSamples } from './LearntSamples'

/** Version of the message; receivers ignore others. @internal */
export const HINTS_VERSION = 1
/** Encoded size of an entry apart from its names, at most. */
const RUN_TIME_BYTES = 64
const SPEED_BYTES = 20

/** Encodes what the leader of a term has learnt. @internal */
export function encodeHints(term: number, { runTimes, speeds }: LearntSamples): LeaderHints {
  return create(LeaderHintsSchema, {
    version: HINTS_VERSION,
    term,
    runTimes: runTimes.map(({ caller, ...more }) => {
      return caller === undefined ? more : { ...more, route: caller }
    }),
    speeds: speeds.map((sample) => ({ ...sample })),
  })
}

/** Upper bound of the size of an encoded run time. @internal */
export function runTimeBytes({ caller = '', service }: RunTimeSample): number {
  return RUN_TIME_BYTES + Buffer.byteLength(caller) + Buffer.byteLength(service)
}

/** Upper bound of the size of an encoded speed. @internal */
export function speedBytes({ endpoint, service }: EndpointSpeedSample): number {
  return SPEED_BYTES + Buffer.byteLength(endpoint) + Buffer.byteLength(service)
}
