import type { AnnounceInstance, InstanceDirectory } from '@cherryhitch/protocol'

/** @public */
export enum DiscoveryEventKind {
  /** Another instance announced itself. */
  Announced = 'announced',
  /** A voter host sent its instance directory. */
  Told = 'told',
  /** State of the local voter: the voter hosts in the replicated log, and the current leader. */
  Voters = 'voters',
  /** This process is about to stop. */
  Leaving = 'leaving',
  /** A message was received that only the leader of a term sends. */
  Heard = 'heard',
  /** This instance sent such a message as the leader. */
  Answered = 'answered',
}

/** @public */
export type DiscoveryEvent =
  | {
      readonly kind: DiscoveryEventKind.Announced
      readonly from: string
      readonly announcement: AnnounceInstance
    }
  | {
      readonly kind: DiscoveryEventKind.Told
      readonly from: string
      readonly directory: InstanceDirectory
    }
  | {
      readonly kind: DiscoveryEventKind.Voters
      readonly instances: readonly string[]
      readonly leader: string
      readonly term: number
    }
  | { readonly kind: DiscoveryEventKind.Leaving }
  | {
      readonly kind: DiscoveryEventKind.Heard
      readonly from: string
      readonly term: number
    }
  | { readonly kind: DiscoveryEventKind.Answered; readonly to: string }
