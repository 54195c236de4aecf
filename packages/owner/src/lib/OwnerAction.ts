import type { SpanRecord } from '@cherryhitch/model'
import type { Envelope, Resources } from '@cherryhitch/protocol'

/** Kinds of side effects that the owner's state machine leaves to its host. @public */
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
  /** Capacity changed enough for the summaries to be sent to coordinators at once. */
  | { readonly kind: OwnerActionKind.SummaryChanged }
  | { readonly kind: OwnerActionKind.Span; readonly span: SpanRecord }
  /** Draining is complete: no task is queued or dispatched here any more. */
  | { readonly kind: OwnerActionKind.Drained }
  /** Closes the connection of a request whose answer is not needed. RunEnded still follows. */
  | {
      readonly kind: OwnerActionKind.DropRun
      readonly endpoint: string
      readonly taskId: string
      readonly run: number
    }
  /** Closes idle connections to an endpoint that was handed over or where one may be dead. */
  | { readonly kind: OwnerActionKind.CloseIdle; readonly endpoint: string }

/**
 * Starts a task at an endpoint, or with `join` attaches to a run that may already be there.
 *
 * @public
 */
export interface RunTaskAction {
  readonly kind: OwnerActionKind.RunTask
  readonly endpoint: string
  readonly address: string
  /** Maximum number of connections that this owner may hold to the endpoint. */
  readonly maxConnections: number
  readonly taskId: string
  /** Number of this request, unique in this process; RunEnded repeats it. */
  readonly run: number
  /** Boot number of the intended endpoint process; any other process must refuse the request. */
  readonly endpointBoot: number
  readonly service: string
  readonly payload: string
  readonly resources: Resources | undefined
  readonly leaseMs: number
  readonly deadlineInMs: number
  readonly traceparent: string
  readonly join: boolean
}
