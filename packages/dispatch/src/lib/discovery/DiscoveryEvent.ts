import type { AnnounceInstance, InstanceDirectory } from '@cherryhitch/protocol'

/** @public */
export enum DiscoveryEventKind {
  Announced = 'announced',
  Told = 'told',
  /** Instances that the replicated log names as hosts of voters, and who leads. */
  Voters = 'voters',
  /** This process was told to stop. */
  Leaving = 'leaving',
  /** A message came that only the leader of a term sends. */
  Heard = 'heard',
  /** This instance, as the leader, sent such a message. */
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
