import type { HealthState } from '@cherryhitch/policy'
import type { EndpointReach } from '../endpoints/EndpointRecord'

/** What operators see of an endpoint. @public */
export interface EndpointView {
  readonly endpoint: string
  readonly service: string
  readonly zone: string
  readonly rack: string
  readonly address: string
  readonly boot: number
  /** False while tasks from here end after it was handed over. */
  readonly owned: boolean
  readonly leaving: boolean
  readonly reach: EndpointReach
  readonly health: HealthState
  readonly slots: number
  readonly freeSlots: number
  /** Tasks dispatched from here whose end is not known. */
  readonly runningTasks: number
  /** Slots held by tasks of other owners. */
  readonly heldSlots: number
  /** Milliseconds since its last heartbeat. */
  readonly silentMs: number
  /** Run times over those of its peers for the same work; 1 is average. */
  readonly slowness: number
}
