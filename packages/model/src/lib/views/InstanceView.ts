import type { InstanceState, ServiceSummary } from '@cherryhitch/protocol'

/** What this instance knows of one instance, itself included. @public */
export interface InstanceView {
  readonly instance: string
  readonly boot: number
  readonly zone: string
  readonly state: InstanceState
  /** False once it has been silent for longer than the limit of membership. */
  readonly alive: boolean
  /** True for the instance that holds the view. */
  readonly self: boolean
  /** What it offers as an owner, per service. */
  readonly services: readonly ServiceSummary[]
  /** When it was last heard of, in milliseconds of the local clock. */
  readonly heardAt: number
  /** Smoothed round trip over the link to it, in milliseconds; 0 for itself. */
  readonly roundTripMs: number
  /** Host and port where endpoints reach it. */
  readonly endpointAddress: string
  readonly settingsVersion: number
}
