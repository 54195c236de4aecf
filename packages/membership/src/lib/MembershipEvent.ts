import type { InstanceHeartbeat, InstanceState, ServiceSummary } from '@cherryhitch/protocol'

/** Kinds of events that membership handles. @public */
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
  /** A new value of the link's smoothed round-trip time. */
  | {
      readonly kind: MembershipEventKind.RoundTrip
      readonly peer: string
      readonly roundTripMs: number
    }
  | { readonly kind: MembershipEventKind.LocalState; readonly state: InstanceState }
  /**
   * The current offer of this instance. If `urgent`, it is sent at once, not with the next regular
   * heartbeat.
   */
  | {
      readonly kind: MembershipEventKind.LocalOffer
      readonly services: readonly ServiceSummary[]
      readonly jobsInFlight: number
      readonly settingsVersion: number
      readonly urgent: boolean
    }
