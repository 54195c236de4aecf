import type {
  EndpointNotice,
  EndpointOrder,
  JobOutcome,
  LeaderHints,
  OpenJobs,
} from '@cherryhitch/protocol'
import type { LossUpdate } from './crashes/LossUpdate'

/** Kinds of actions that the dispatcher requests. @public */
export enum DispatchActionKind {
  Order = 'order',
  Answer = 'answer',
  BroadcastNotice = 'spread',
  BroadcastLosses = 'spread_loss',
  BroadcastHints = 'spread_hints',
  SendOpenJobs = 'open_jobs',
  Log = 'log',
  Measure = 'measure',
}

/** Stages of a request whose duration is measured. @public */
export enum Stage {
  /** From the arrival of the job at the leader to its first start order. */
  Queue = 'queue',
  /** From a start order to its answer. */
  Start = 'start',
  /** From the arrival of the job at the leader to its verdict. */
  Total = 'whole',
}

/** Sends an order, which is a command of the leader to an endpoint. @public */
export interface SendOrder {
  readonly kind: DispatchActionKind.Order
  readonly order: EndpointOrder
  /** Availability zone of the endpoint. */
  readonly zone: string
  readonly sentAt: number
}

/** A side effect that the dispatcher asks its host to carry out. @public */
export type DispatchAction =
  | SendOrder
  | { readonly kind: DispatchActionKind.Answer; readonly to: string; readonly outcome: JobOutcome }
  /** Broadcast the notice of a new endpoint to all instances that may become leader. */
  | { readonly kind: DispatchActionKind.BroadcastNotice; readonly notice: EndpointNotice }
  /** Broadcast a report on lost endpoints to all instances that may become leader. */
  | { readonly kind: DispatchActionKind.BroadcastLosses; readonly losses: LossUpdate }
  /** Send what this leader has learnt to all instances that may become leader. */
  | { readonly kind: DispatchActionKind.BroadcastHints; readonly hints: LeaderHints }
  /** Answer an instance that asked which jobs this leader may be running. */
  | {
      readonly kind: DispatchActionKind.SendOpenJobs
      readonly to: string
      readonly openJobs: OpenJobs
    }
  | {
      readonly kind: DispatchActionKind.Log
      readonly message: string
      readonly fields: Readonly<Record<string, unknown>>
    }
  | {
      readonly kind: DispatchActionKind.Measure
      readonly stage: Stage
      readonly route: string
      readonly ms: number
    }
