import type { EndpointNotice, EndpointOrder, JobOutcome } from '@cherryhitch/protocol'
import type { LossNews } from './crashes/LossNews'

/** @public */
export enum DispatchActionKind {
  Order = 'order',
  Answer = 'answer',
  Spread = 'spread',
  SpreadLoss = 'spread_loss',
  Log = 'log',
  Measure = 'measure',
}

/** Stages of a request whose length is measured. @public */
export enum Stage {
  /** From its arrival at the leader to the first order to start. */
  Queue = 'queue',
  /** From an order to start to its answer. */
  Start = 'start',
  /** From the arrival at the leader to the verdict. */
  Whole = 'whole',
}

/** An order for an endpoint. @public */
export interface SendOrder {
  readonly kind: DispatchActionKind.Order
  readonly order: EndpointOrder
  /** Zone of the endpoint. */
  readonly zone: string
  readonly sentAt: number
}

/** What the dispatcher asks its shell to do. @public */
export type DispatchAction =
  | SendOrder
  | { readonly kind: DispatchActionKind.Answer; readonly to: string; readonly outcome: JobOutcome }
  /** All who may lead are to know of a new endpoint. */
  | { readonly kind: DispatchActionKind.Spread; readonly notice: EndpointNotice }
  /** All who may lead are to know what became of endpoints that were lost. */
  | { readonly kind: DispatchActionKind.SpreadLoss; readonly news: LossNews }
  | {
      readonly kind: DispatchActionKind.Log
      readonly sentence: string
      readonly fields: Readonly<Record<string, unknown>>
    }
  | {
      readonly kind: DispatchActionKind.Measure
      readonly stage: Stage
      readonly route: string
      readonly ms: number
    }
