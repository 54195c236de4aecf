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

/** Bounds on what an instance takes in and keeps. @public */
export type LimitSettings = Readonly<Record<keyof typeof limitSettings, number>>

/**
 * As in the HTTP servers; tasks per job cover the jobs that are known today
 * with room to spare.
 *
 * @public
 */
export const defaultLimitSettings: LimitSettings = defaultsOf(limitSettings)

export const limitsSchema = numberGroup(
  limitSettings,
  'Bounds on what this instance takes in and keeps.',
)
