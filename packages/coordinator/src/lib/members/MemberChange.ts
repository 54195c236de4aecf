/** How an instance changed between two views of the members. @internal */
export enum MemberChangeKind {
  /** The instance was silent for too long, or is no longer in the view. */
  Lost = 'lost',
  /** The instance is heard of again, in the same boot. */
  Recovered = 'back',
  /** Another boot of the instance is heard of, so the earlier one has ended for good. */
  Restarted = 'restarted',
}

/** @internal */
export interface MemberChange {
  readonly kind: MemberChangeKind
  readonly instance: string
  /** The boot that was lost, recovered or replaced. */
  readonly boot: number
  /** When that boot was last heard of. */
  readonly heardAt: number
}
