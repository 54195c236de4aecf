import type { InstanceState, ServiceSummary } from '@cherryhitch/protocol'

/** The last known state of one instance, as seen by the local instance. @public */
export interface InstanceView {
  readonly instance: string
  readonly boot: number
  readonly zone: string
  readonly state: InstanceState
  /** False if no heartbeat arrived within the timeout of membership. */
  readonly alive: boolean
  /** True for the local instance. */
  readonly self: boolean
  /** The capacity that it offers as an owner, by service. */
  readonly services: readonly ServiceSummary[]
  /** When its last heartbeat arrived, in milliseconds of the local clock. */
  readonly heardAt: number
  /** Smoothed round-trip time of the link to it, in milliseconds; 0 for the local instance. */
  readonly roundTripMs: number
  /** Host and port of its API for endpoints. */
  readonly endpointAddress: string
  readonly settingsVersion: number
}
