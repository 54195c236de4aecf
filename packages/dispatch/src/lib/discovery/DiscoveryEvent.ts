import type { AnnounceInstance, InstanceDirectory } from '@cherryhitch/protocol'

/** @public */
export enum DiscoveryEventKind {
  /** Another instance announced itself. */
  Announced = 'announced',
  /** A voter host sent its instance directory. */
  DirectoryReceived = 'told',
  /** State of the local voter: the voter hosts in the replicated log, and the current leader. */
  Voters = 'voters',
  /** This process is about to stop. */
  Leaving = 'leaving',
  /** A message was received that only the leader of a term sends. */
  LeaderMessageReceived = 'heard',
  /** This instance sent such a message as the leader. */
  LeaderMessageSent = 'answered',
}

/** @public */
export type DiscoveryEvent =
  | {
      readonly kind: DiscoveryEventKind.Announced
      readonly from: string
      readonly announcement: AnnounceInstance
    }
  | {
      readonly kind: DiscoveryEventKind.DirectoryReceived
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
      readonly kind: DiscoveryEventKind.LeaderMessageReceived
      readonly from: string
      readonly term: number
    }
  | { readonly kind: DiscoveryEventKind.LeaderMessageSent; readonly to: string }
