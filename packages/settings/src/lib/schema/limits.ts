import { defaultsOf, numberGroup } from './numbers'

const KIB = 1024
const MIB = 1024 * KIB

const limitSettings = {
  bodyBytes: {
    minimum: KIB,
    maximum: 64 * MIB,
    default: 4 * MIB,
    description: 'Largest body of a request, in bytes.',
  },
  headerBytes: {
    minimum: 4 * KIB,
    maximum: 64 * KIB,
    default: 16 * KIB,
    description: 'Largest head of a request, in bytes.',
  },
  tasksPerJob: {
    minimum: 1,
    maximum: 10_000,
    default: 120,
    description: 'Tasks that one job may have.',
  },
  requestTimeoutMs: {
    minimum: 1000,
    maximum: 120_000,
    default: 10_000,
    description: 'Time that a client has to send its request, in milliseconds.',
  },
}

/** Limits on the requests that an instance accepts. @public */
export type LimitSettings = Readonly<Record<keyof typeof limitSettings, number>>

/**
 * The same values as in the HTTP servers. `tasksPerJob` exceeds the size of the largest known jobs
 * by a margin.
 *
 * @public
 */
export const defaultLimitSettings: LimitSettings = defaultsOf(limitSettings)

export const limitsSchema = numberGroup(
  limitSettings,
  'Bounds on what this instance takes in and keeps.',
)
