import type { InstanceView } from '@cherryhitch/model'
import type { Envelope } from '@cherryhitch/protocol'

/** Kinds of actions that membership asks its host to perform. @public */
export enum MembershipActionKind {
  Send = 'send',
  ViewChanged = 'view_changed',
  InstanceLost = 'instance_lost',
  InstanceFound = 'instance_found',
}

/** @public */
export type MembershipAction =
  | { readonly kind: MembershipActionKind.Send; readonly to: string; readonly envelope: Envelope }
  /** The complete view, published after changes in it and refreshed when it gets old. */
  | { readonly kind: MembershipActionKind.ViewChanged; readonly members: readonly InstanceView[] }
  | {
      readonly kind: MembershipActionKind.InstanceLost
      readonly instance: string
      readonly boot: number
    }
  | {
      readonly kind: MembershipActionKind.InstanceFound
      readonly instance: string
      readonly boot: number
    }
