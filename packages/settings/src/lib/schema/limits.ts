import { defaultsOf, numberGroup } from './numbers'

const KIB = 1024
const MIB = 1024 * KIB
const HOURS_OF_A_YEAR = 8760

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
  claimsKept: {
    minimum: 1000,
    maximum: 10_000_000,
    default: 200_000,
    description:
      'Claims of non-idempotent requests that the voters keep. Must be the same on all instances.',
  },
  claimRetentionHours: {
    minimum: 1,
    maximum: HOURS_OF_A_YEAR,
    default: 24,
    description:
      'How long an ended claim is kept, in hours; a resend after that runs again. Must be the same on all instances.',
  },
}

/** Bounds on what an instance takes in and keeps. @public */
export type LimitSettings = Readonly<Record<keyof typeof limitSettings, number>>

/**
 * As in the HTTP servers and the replicated log; tasks per job cover the jobs that are known today
 * with room to spare.
 *
 * @public
 */
export const defaultLimitSettings: LimitSettings = defaultsOf(limitSettings)

export const limitsSchema = numberGroup(
  limitSettings,
  'Bounds on what this instance takes in and keeps.',
)
