/** Kinds of timers of a coordinator. @internal */
export enum TimerKind {
  Deadline = 'deadline',
  QueryLateTasks = 'ask_after_late',
  Retry = 'retry',
  OwnerLeasesExpired = 'owner_gone',
  ForwardTimeout = 'forward_late',
}

/**
 * A timer of a coordinator. It refers to its job by sequence number, so that it doesn't keep the
 * job in memory after the job has ended.
 *
 * @internal
 */
export type CoordinatorTimer =
  | { readonly kind: TimerKind.Deadline; readonly sequence: number }
  | { readonly kind: TimerKind.QueryLateTasks; readonly sequence: number }
  | {
      readonly kind: TimerKind.Retry
      readonly sequence: number
      readonly indexes: readonly number[]
      /** Until this time, the tasks wait for an owner if there is none. */
      readonly giveUpAt: number
    }
  /** The leases granted by a lost owner's boot have expired. */
  | { readonly kind: TimerKind.OwnerLeasesExpired; readonly owner: string; readonly boot: number }
  | { readonly kind: TimerKind.ForwardTimeout; readonly forwardId: string }
