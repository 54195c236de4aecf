/** What a timer of the coordinator is for. @internal */
export enum DueKind {
  Deadline = 'deadline',
  AskAfterLate = 'ask_after_late',
  Retry = 'retry',
  OwnerGone = 'owner_gone',
  ForwardLate = 'forward_late',
}

/** Timers name their subject by number, so that an ended job's memory is not held by them. @internal */
export type DueItem =
  | { readonly kind: DueKind.Deadline; readonly sequence: number }
  | { readonly kind: DueKind.AskAfterLate; readonly sequence: number }
  | {
      readonly kind: DueKind.Retry
      readonly sequence: number
      readonly indexes: readonly number[]
      /** Until then it waits for an owner when there is none. */
      readonly giveUpAt: number
    }
  /** The leases of a lost owner's boot have run out. */
  | { readonly kind: DueKind.OwnerGone; readonly owner: string; readonly boot: number }
  | { readonly kind: DueKind.ForwardLate; readonly forwardId: string }
