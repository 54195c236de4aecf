/** What happened to an instance between two views of the members. @internal */
export enum MemberChangeKind {
  /** It was silent for too long, or is not in the view any more. */
  Lost = 'lost',
  /** It is heard again, in the same boot. */
  Back = 'back',
  /** Another boot of it is heard: the earlier one is gone for good. */
  Restarted = 'restarted',
}

/** @internal */
export interface MemberChange {
  readonly kind: MemberChangeKind
  readonly instance: string
  /** The boot that was lost, came back, or was replaced. */
  readonly boot: number
  /** When that boot was last heard of. */
  readonly heardAt: number
}
