import type { HealthState } from '@cherryhitch/policy'
import type { EndpointReach } from '../endpoints/EndpointRecord'

/** The state of an endpoint as shown to operators. @public */
export interface EndpointView {
  readonly endpoint: string
  readonly service: string
  readonly zone: string
  readonly rack: string
  readonly address: string
  readonly boot: number
  /** False after a handover, while tasks that this owner dispatched still run there. */
  readonly owned: boolean
  readonly leaving: boolean
  readonly reach: EndpointReach
  readonly health: HealthState
  readonly slots: number
  readonly freeSlots: number
  /** Tasks dispatched by this owner that are not known to have ended. */
  readonly runningTasks: number
  /** Slots held by tasks of other owners. */
  readonly heldSlots: number
  /** Milliseconds since its last heartbeat. */
  readonly silentMs: number
  /** Ratio of its run times to those of its peers for the same work; 1 is average. */
  readonly slowness: number
}
