import type {
  AbandonJob,
  AskJob,
  EndpointNotice,
  RoutingTable,
  SubmitJob,
} from '@cherryhitch/protocol'
import type { HoldReport, StartResult } from './gateway/EndpointGateway'

/** @public */
export enum DispatchEventKind {
  Lead = 'lead',
  StepDown = 'step_down',
  DirectoryRead = 'directory_read',
  EarlierLeaders = 'earlier_leaders',
  Confirmed = 'confirmed',
  Routing = 'routing',
  Notice = 'notice',
  Submit = 'submit',
  Ask = 'ask',
  Abandon = 'abandon',
  HoldAnswered = 'hold_answered',
  HoldFailed = 'hold_failed',
  StartAnswered = 'start_answered',
  StopAnswered = 'stop_answered',
}

/** Why an endpoint gave no report. @public */
export enum HoldFailure {
  /** No answer, or one that makes no sense. */
  NoAnswer = 'no_answer',
  /** Another life of the endpoint is at the address. */
  Replaced = 'replaced',
  /** It has seen a higher fencing token. */
  Fenced = 'fenced',
}

/** What the dispatcher is told. @public */
export type DispatchEvent =
  /** This instance leads from now on; the term is its fencing token. */
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
  | { readonly kind: DispatchEventKind.Submit; readonly from: string; readonly req: SubmitJob }
  | { readonly kind: DispatchEventKind.Ask; readonly from: string; readonly req: AskJob }
  | { readonly kind: DispatchEventKind.Abandon; readonly from: string; readonly req: AbandonJob }
  | {
      readonly kind: DispatchEventKind.HoldAnswered
      readonly endpoint: string
      readonly token: number
      readonly sentAt: number
      readonly report: HoldReport
    }
  | {
      readonly kind: DispatchEventKind.HoldFailed
      readonly endpoint: string
      readonly token: number
      readonly sentAt: number
      readonly failure: HoldFailure
      readonly detail: string
    }
  | {
      readonly kind: DispatchEventKind.StartAnswered
      readonly endpoint: string
      readonly token: number
      readonly task: string
      readonly run: number
      readonly result: StartResult
    }
  | {
      readonly kind: DispatchEventKind.StopAnswered
      readonly endpoint: string
      readonly token: number
      readonly task: string
      readonly run: number
      /** False when no clear answer came. */
      readonly confirmed: boolean
    }
