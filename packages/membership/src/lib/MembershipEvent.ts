import type { InstanceHeartbeat, InstanceState, ServiceSummary } from '@cherryhitch/protocol'

/** What membership can be told. @public */
export enum MembershipEventKind {
  Heartbeat = 'heartbeat',
  LinkUp = 'link_up',
  LinkDown = 'link_down',
  RoundTrip = 'round_trip',
  LocalState = 'local_state',
  LocalOffer = 'local_offer',
}

/** @public */
export type MembershipEvent =
  | {
      readonly kind: MembershipEventKind.Heartbeat
      readonly from: string
      readonly boot: number
      readonly heartbeat: InstanceHeartbeat
    }
  | {
      readonly kind: MembershipEventKind.LinkUp
      readonly peer: string
      readonly roundTripMs: number
    }
  | { readonly kind: MembershipEventKind.LinkDown; readonly peer: string }
  /** The link's smoothed round trip, measured anew. */
  | {
      readonly kind: MembershipEventKind.RoundTrip
      readonly peer: string
      readonly roundTripMs: number
    }
  | { readonly kind: MembershipEventKind.LocalState; readonly state: InstanceState }
  /** What this instance offers now. `urgent` sends it at once rather than with the next heartbeat. */
  | {
      readonly kind: MembershipEventKind.LocalOffer
      readonly services: readonly ServiceSummary[]
      readonly jobsInFlight: number
      readonly settingsVersion: number
      readonly urgent: boolean
    }
