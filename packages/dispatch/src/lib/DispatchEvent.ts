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

/** @public */
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

/** An endpoint answered an order, or will not. @public */
export interface OrderAnswered {
  readonly kind: DispatchEventKind.Answered
  readonly order: EndpointOrder
  readonly sentAt: number
  readonly answer: OrderAnswer
}

/** What the dispatcher is told. @public */
export type DispatchEvent =
  /** This instance leads from now on, in the given term. */
  | {
      readonly kind: DispatchEventKind.Lead
      readonly term: number
      readonly table: RoutingTable | undefined
    }
  | { readonly kind: DispatchEventKind.StepDown }
  /** No majority has followed an earlier leader after the given time. */
  | {
      readonly kind: DispatchEventKind.EarlierLeaders
      readonly term: number
      readonly followedUntil: number
    }
  /** A majority of the voters has told this leader all endpoints that it knows. */
  | { readonly kind: DispatchEventKind.DirectoryRead; readonly term: number }
  /** When a majority last followed this leader. */
  | { readonly kind: DispatchEventKind.Confirmed; readonly at: number }
  | { readonly kind: DispatchEventKind.Routing; readonly table: RoutingTable }
  | { readonly kind: DispatchEventKind.Notice; readonly notice: EndpointNotice }
  /** Another instance tells of endpoints that were lost. */
  | { readonly kind: DispatchEventKind.Loss; readonly news: LossNews }
  | { readonly kind: DispatchEventKind.Submit; readonly from: string; readonly req: SubmitJob }
  | { readonly kind: DispatchEventKind.Ask; readonly from: string; readonly req: AskJob }
  | { readonly kind: DispatchEventKind.Abandon; readonly from: string; readonly req: AbandonJob }
  | { readonly kind: DispatchEventKind.Unanswered; readonly req: UnansweredJobs }
  | OrderAnswered
