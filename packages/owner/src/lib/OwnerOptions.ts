import type { PresetDefinition } from '@cherryhitch/protocol'

/** Durations of an owner, in milliseconds. @public */
export interface OwnerTiming {
  /** Pace of an endpoint's heartbeats. */
  readonly heartbeatMs: number
  /** Silence after which an endpoint is probed on a new connection. */
  readonly suspectAfterMs: number
  /** Silence after which an endpoint gets no new work, whatever a probe says. */
  readonly endpointTimeoutMs: number
  /** Silence after which an idle endpoint is forgotten. */
  readonly forgetEndpointMs: number
  /** Lease of a running task. */
  readonly leaseMs: number
  /** Added to a lease before it counts as run out: the way of the message that granted it. */
  readonly leaseSlackMs: number
  /** Between two questions about a task whose fate is unclear. */
  readonly recheckMs: number
  /** How long the answer of a task may still be on its way after its endpoint restarted. */
  readonly restartGraceMs: number
  /** A question to the shell without an answer counts as unanswered after this. */
  readonly askTimeoutMs: number
  /** Silence of a coordinator after which nobody is thought to wait for its tasks. */
  readonly coordinatorLostMs: number
  /** How long a new owner waits for the hand-over by an old one that is alive. */
  readonly settleMs: number
  /** Least time between two announcements of a changed offer. */
  readonly summaryMs: number
  /** How long ended, fenced and passed-on tasks are remembered. */
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
  askTimeoutMs: 5000,
  coordinatorLostMs: 10_000,
  settleMs: 600,
  summaryMs: 100,
  rememberMs: 60_000,
}

/** Bounds of what an owner keeps in memory. @public */
export interface OwnerLimits {
  /** Ended, fenced and passed-on tasks that are remembered. */
  readonly rememberedTasks: number
  /** Characters of outputs that are kept to send reports again. */
  readonly rememberedOutput: number
  /**
   * Endpoints that the picker weighs for one task. An owner has about 11 at the users' sizes; the
   * design note gives the cost of more.
   */
  readonly candidates: number
}

/** @public */
export const defaultOwnerLimits: OwnerLimits = {
  rememberedTasks: 100_000,
  rememberedOutput: 16_000_000,
  candidates: 16,
}

/** @public */
export interface OwnerMachineOptions {
  /** Name of this instance. */
  readonly instance: string
  readonly zone: string
  /** Boot number of this process. */
  readonly boot: number
  /** The preset in force at the start. */
  readonly preset: PresetDefinition
  readonly timing?: Partial<OwnerTiming>
  readonly limits?: Partial<OwnerLimits>
}
