import type {
  AbandonJob,
  AskJob,
  EndpointNotice,
  EndpointOrder,
  RoutingTable,
  SubmitJob,
  UnansweredJobs,
} from '@cherryhitch/protocol'
import type { LossNews } from './crashes/LossNews'
import type { OrderAnswer } from './gateway/EndpointGateway'

/** Kinds of events that the dispatcher handles. @public */
export enum DispatchEventKind {
  Lead = 'lead',
  StepDown = 'step_down',
  DirectoryRead = 'directory_read',
  EarlierLeaders = 'earlier_leaders',
  Confirmed = 'confirmed',
  Routing = 'routing',
  Notice = 'notice',
  Loss = 'loss',
  Submit = 'submit',
  Ask = 'ask',
  Abandon = 'abandon',
  Unanswered = 'unanswered',
  Answered = 'answered',
}

/** An endpoint answered an order, or an answer is no longer expected. @public */
export interface OrderAnswered {
  readonly kind: DispatchEventKind.Answered
  readonly order: EndpointOrder
  readonly sentAt: number
  readonly answer: OrderAnswer
}

/** An input of the dispatcher. @public */
export type DispatchEvent =
  /** This instance became leader in the given term. */
  | {
      readonly kind: DispatchEventKind.Lead
      readonly term: number
      readonly table: RoutingTable | undefined
    }
  | { readonly kind: DispatchEventKind.StepDown }
  /** No majority has confirmed an earlier leader after the given time. */
  | {
      readonly kind: DispatchEventKind.EarlierLeaders
      readonly term: number
      readonly followedUntil: number
    }
  /** A majority of the voters has sent this leader all endpoints that they know. */
  | { readonly kind: DispatchEventKind.DirectoryRead; readonly term: number }
  /** The time at which a majority last confirmed this leader. */
  | { readonly kind: DispatchEventKind.Confirmed; readonly at: number }
  | { readonly kind: DispatchEventKind.Routing; readonly table: RoutingTable }
  | { readonly kind: DispatchEventKind.Notice; readonly notice: EndpointNotice }
  /** Another instance reported lost endpoints. */
  | { readonly kind: DispatchEventKind.Loss; readonly news: LossNews }
  | { readonly kind: DispatchEventKind.Submit; readonly from: string; readonly req: SubmitJob }
  | { readonly kind: DispatchEventKind.Ask; readonly from: string; readonly req: AskJob }
  | { readonly kind: DispatchEventKind.Abandon; readonly from: string; readonly req: AbandonJob }
  | { readonly kind: DispatchEventKind.Unanswered; readonly req: UnansweredJobs }
  | OrderAnswered
