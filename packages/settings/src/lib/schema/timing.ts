import { defaultsOf, numberGroup } from './numbers'

const timingSettings = {
  heartbeatMs: {
    minimum: 100,
    maximum: 5000,
    default: 500,
    description: 'Pace of the heartbeats that endpoints are asked for.',
  },
  endpointTimeoutMs: {
    minimum: 1000,
    maximum: 10_000,
    default: 3000,
    description: 'An endpoint that is silent for longer gets no new work.',
  },
  leaseMs: {
    minimum: 1000,
    maximum: 30_000,
    default: 3000,
    description: 'A task without a renewal for so long is stopped by its endpoint.',
  },
  instanceHeartbeatMs: {
    minimum: 50,
    maximum: 2000,
    default: 200,
    description: 'Pace of the heartbeats between instances.',
  },
  instanceTimeoutMs: {
    minimum: 500,
    maximum: 10_000,
    default: 2500,
    description: 'An instance that is silent for longer counts as dead.',
  },
  balancerDelayMs: {
    minimum: 0,
    maximum: 60_000,
    default: 2000,
    description:
      'On a graceful shutdown readiness is off for so long before requests are refused; as long as the balancer takes to see it.',
  },
  drainLimitMs: {
    minimum: 1000,
    maximum: 3_600_000,
    default: 60_000,
    description: 'A graceful shutdown waits no longer than this for requests in progress.',
  },
  settingsWaitMs: {
    minimum: 0,
    maximum: 60_000,
    default: 3000,
    description:
      'How long a starting instance waits for the preset in force before it serves without it.',
  },
}

/** Timeouts and intervals of an instance, in milliseconds. @public */
export type TimingSettings = Readonly<Record<keyof typeof timingSettings, number>>

/**
 * The same values as in the components that use them. The instance timeout leaves time to
 * replace a silent connection before its peer is considered dead.
 *
 * @public
 */
export const defaultTimingSettings: TimingSettings = defaultsOf(timingSettings)

export const timingSchema = numberGroup(timingSettings, 'Times, all in milliseconds.')
