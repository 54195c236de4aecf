import type { InstanceView } from '@cherryhitch/model'
import type { Envelope } from '@cherryhitch/protocol'

/** What membership asks its shell to do. @public */
export enum MembershipActionKind {
  Send = 'send',
  ViewChanged = 'view_changed',
  InstanceLost = 'instance_lost',
  InstanceFound = 'instance_found',
}

/** @public */
export type MembershipAction =
  | { readonly kind: MembershipActionKind.Send; readonly to: string; readonly envelope: Envelope }
  /** The view as a whole, whenever anything in it changed. */
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
