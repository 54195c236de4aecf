import type { EndpointSpeedSample, RunTimeSample } from '@cherryhitch/policy'

/** Entries of what a leader has learnt. @public */
export interface LearntSamples {
  readonly runTimes: readonly RunTimeSample[]
  readonly speeds: readonly EndpointSpeedSample[]
}
