/** Where a request for an answer came from. @internal */
export enum WaiterKind {
  /** A caller connected to this instance. */
  Local = 'local',
  /** Another instance that sent its caller's request on. */
  Remote = 'remote',
}

/** Somebody who waits for a job's end. @internal */
export type Waiter =
  | {
      readonly kind: WaiterKind.Local
      readonly requestId: string
      /** It is answered as soon as the job runs. */
      readonly respondAsync: boolean
    }
  | {
      readonly kind: WaiterKind.Remote
      readonly instance: string
      readonly requestId: string
      readonly respondAsync: boolean
    }

/** @internal */
export function localWaiter(requestId: string, respondAsync: boolean): Waiter {
  return { kind: WaiterKind.Local, requestId, respondAsync }
}

/** @internal */
export function remoteWaiter(instance: string, requestId: string, respondAsync: boolean): Waiter {
  return { kind: WaiterKind.Remote, instance, requestId, respondAsync }
}

/** Tells whether both are the same request: a resent one must not be answered twice. @internal */
export function isSameWaiter(one: Waiter, other: Waiter): boolean {
  if (one.requestId !== other.requestId) return false
  if (one.kind === WaiterKind.Local) return other.kind === WaiterKind.Local
  return other.kind === WaiterKind.Remote && one.instance === other.instance
}
