/** Origin of a request for a job's answer. @internal */
export enum WaiterKind {
  /** A caller connected to this instance. */
  Local = 'local',
  /** Another instance that forwarded its caller's request. */
  Remote = 'remote',
}

/** A request that waits for the end of a job. @internal */
export type Waiter =
  | {
      readonly kind: WaiterKind.Local
      readonly requestId: string
      /** Whether the request is answered as soon as the job has started. */
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

/** Compares the origin and id of two requests, to answer a resent one only once. @internal */
export function isSameWaiter(one: Waiter, other: Waiter): boolean {
  if (one.requestId !== other.requestId) return false
  if (one.kind === WaiterKind.Local) return other.kind === WaiterKind.Local
  return other.kind === WaiterKind.Remote && one.instance === other.instance
}
