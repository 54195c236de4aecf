import type { PresetDefinition } from '@cherryhitch/protocol'

/** Intervals and time-outs of an owner, in milliseconds. @public */
export interface OwnerTiming {
  /** Interval between an endpoint's heartbeats. */
  readonly heartbeatMs: number
  /** Time without a sign of life after which an endpoint is probed on a new connection. */
  readonly suspectAfterMs: number
  /** Time without a heartbeat after which an endpoint gets no new work, even if probes succeed. */
  readonly endpointTimeoutMs: number
  /** Time without a heartbeat after which an idle endpoint is forgotten. */
  readonly forgetEndpointMs: number
  /** Duration of a running task's lease. */
  readonly leaseMs: number
  /** Added to a lease before it counts as expired: the delay of the message that granted it. */
  readonly leaseSlackMs: number
  /** Interval between two queries about a task in an unknown state, and between failed probes. */
  readonly recheckMs: number
  /** How long the answer of a task is still awaited after its endpoint restarted. */
  readonly restartGraceMs: number
  /** Time after which a stop, renewal or probe without a result counts as unanswered. */
  readonly controlTimeoutMs: number
  /** Silence of a coordinator after which nobody is assumed to wait for its tasks. */
  readonly coordinatorTimeoutMs: number
  /** How long a new owner waits for the hand-over by a previous owner that is alive. */
  readonly handOverWaitMs: number
  /** Minimum interval between two announcements of changed summaries. */
  readonly summaryIntervalMs: number
  /** How long ended, fenced and forwarded tasks are remembered. */
  readonly rememberMs: number
}

/** @public */
export const defaultOwnerTiming: OwnerTiming = {
  heartbeatMs: 500,
  suspectAfterMs: 1200,
  endpointTimeoutMs: 3000,
  forgetEndpointMs: 60_000,
  leaseMs: 3000,
  leaseSlackMs: 100,
  recheckMs: 500,
  restartGraceMs: 500,
  controlTimeoutMs: 5000,
  coordinatorTimeoutMs: 10_000,
  handOverWaitMs: 600,
  summaryIntervalMs: 100,
  rememberMs: 60_000,
}

/** Limits on what an owner remembers, and on the endpoints compared per task. @public */
export interface OwnerLimits {
  /** Maximum number of ended, fenced and forwarded tasks that are remembered. */
  readonly rememberedTasks: number
  /** Maximum total characters of outputs that are kept for resending reports. */
  readonly rememberedOutputChars: number
  /**
   * Maximum number of endpoints that the picker compares for one task. An owner has about 11 at
   * the users' sizes; the design note gives the cost of more.
   */
  readonly maxCandidates: number
}

/** @public */
export const defaultOwnerLimits: OwnerLimits = {
  rememberedTasks: 100_000,
  rememberedOutputChars: 16_000_000,
  maxCandidates: 16,
}

/** @public */
export interface OwnerMachineOptions {
  readonly instance: string
  readonly zone: string
  /** Boot number of this process. */
  readonly boot: number
  /** The preset in force at the start. */
  readonly preset: PresetDefinition
  readonly timing?: Partial<OwnerTiming>
  readonly limits?: Partial<OwnerLimits>
}
