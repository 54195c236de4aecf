import type { Envelope } from '@cherryhitch/protocol'

/** @public */
export enum DiscoveryActionKind {
  Send = 'send',
  SetPeers = 'set_peers',
  /** An instance that hosts a voter announced itself for the first time, or has restarted. */
  VoterHostSeen = 'voter_host_seen',
  LeaderChanged = 'leader_changed',
  /** The leader was lost, and the next can't be found: no majority of the voter hosts answers. */
  QuorumUnreachable = 'no_leader_in_reach',
}

/** @public */
export type DiscoveryAction =
  | { readonly kind: DiscoveryActionKind.Send; readonly to: string; readonly envelope: Envelope }
  | { readonly kind: DiscoveryActionKind.SetPeers; readonly instances: readonly string[] }
  | { readonly kind: DiscoveryActionKind.VoterHostSeen; readonly instance: string }
  | {
      readonly kind: DiscoveryActionKind.LeaderChanged
      /** Empty while none is known. */
      readonly leader: string
      readonly term: number
    }
  | { readonly kind: DiscoveryActionKind.QuorumUnreachable }
