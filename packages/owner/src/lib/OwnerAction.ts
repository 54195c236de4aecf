import type { SpanRecord } from '@cherryhitch/model'
import type { Envelope, Resources } from '@cherryhitch/protocol'

/** What an owner asks its shell to do. @public */
export enum OwnerActionKind {
  Send = 'send',
  RunTask = 'run_task',
  StopTasks = 'stop_tasks',
  RenewLeases = 'renew_leases',
  Probe = 'probe',
  SummaryChanged = 'summary_changed',
  Span = 'span',
  Drained = 'drained',
  DropRun = 'drop_run',
  CloseIdle = 'close_idle',
}

/** @public */
export type OwnerAction =
  | { readonly kind: OwnerActionKind.Send; readonly to: string; readonly envelope: Envelope }
  | RunTaskAction
  | {
      readonly kind: OwnerActionKind.StopTasks
      readonly endpoint: string
      readonly address: string
      readonly taskIds: readonly string[]
    }
  | {
      readonly kind: OwnerActionKind.RenewLeases
      readonly endpoint: string
      readonly address: string
      readonly taskIds: readonly string[]
      readonly leaseMs: number
    }
  | {
      readonly kind: OwnerActionKind.Probe
      readonly endpoint: string
      readonly address: string
    }
  /** The offer changed so much that coordinators should hear of it at once. */
  | { readonly kind: OwnerActionKind.SummaryChanged }
  | { readonly kind: OwnerActionKind.Span; readonly span: SpanRecord }
  /** Draining is over: nothing is queued, dispatched or owned here any more. */
  | { readonly kind: OwnerActionKind.Drained }
  /** Nobody awaits this request any more: its connection is closed. RunEnded still follows. */
  | {
      readonly kind: OwnerActionKind.DropRun
      readonly endpoint: string
      readonly taskId: string
      readonly run: number
    }
  /** The endpoint was handed over: idle connections to it are closed. */
  | { readonly kind: OwnerActionKind.CloseIdle; readonly endpoint: string }

/** Starts a task at an endpoint, or joins it when `join` says it may run there already. @public */
export interface RunTaskAction {
  readonly kind: OwnerActionKind.RunTask
  readonly endpoint: string
  readonly address: string
  /** Connections the endpoint allows this owner to hold. */
  readonly maxConnections: number
  readonly taskId: string
  /** Number of this request, unique in this process; RunEnded names it. */
  readonly run: number
  /** Boot of the endpoint that the owner means; another process there must refuse the request. */
  readonly endpointBoot: number
  readonly service: string
  readonly payload: string
  readonly resources: Resources | undefined
  readonly leaseMs: number
  readonly deadlineInMs: number
  readonly traceparent: string
  readonly join: boolean
}
