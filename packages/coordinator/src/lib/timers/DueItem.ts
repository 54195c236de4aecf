/** Kinds of timers of a coordinator. @internal */
export enum DueKind {
  Deadline = 'deadline',
  AskAfterLate = 'ask_after_late',
  Retry = 'retry',
  OwnerGone = 'owner_gone',
  ForwardLate = 'forward_late',
}

/**
 * A timer of a coordinator. It refers to its job by sequence number, so that it doesn't keep the
 * job in memory after the job has ended.
 *
 * @internal
 */
export type DueItem =
  | { readonly kind: DueKind.Deadline; readonly sequence: number }
  | { readonly kind: DueKind.AskAfterLate; readonly sequence: number }
  | {
      readonly kind: DueKind.Retry
      readonly sequence: number
      readonly indexes: readonly number[]
      /** Until this time, the tasks wait for an owner if there is none. */
      readonly giveUpAt: number
    }
  /** The leases granted by a lost owner's boot have expired. */
  | { readonly kind: DueKind.OwnerGone; readonly owner: string; readonly boot: number }
  | { readonly kind: DueKind.ForwardLate; readonly forwardId: string }
