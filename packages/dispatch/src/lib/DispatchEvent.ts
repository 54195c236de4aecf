import type {
  AbandonJob,
  AskJob,
  EndpointNotice,
  EndpointOrder,
  LeaderHints,
  OpenJobs,
  ReadOpenJobs,
  RoutingTable,
  SubmitJob,
  UnansweredJobs,
} from '@cherryhitch/protocol'
import type { LossUpdate } from './crashes/LossUpdate'
import type { OrderAnswer } from './gateway/EndpointGateway'

/** Kinds of events that the dispatcher handles. @public */
export enum DispatchEventKind {
  BecomeLeader = 'lead',
  /** This instance begins to serve its zone, which is cut off. */
  BecomeZoneDispatcher = 'serve_zone',
  StepDown = 'step_down',
  /** A zone dispatcher of the leader's term has ended. */
  ZoneServiceEnded = 'zone_ended',
  DirectoryComplete = 'directory_read',
  EarlierLeadersConfirmed = 'earlier_leaders',
  LeadershipConfirmed = 'confirmed',
  Routing = 'routing',
  DrainedZones = 'drained_zones',
  Notice = 'notice',
  EndpointLosses = 'loss',
  LeaderHints = 'hints',
  ReadOpenJobs = 'read_open_jobs',
  OpenJobs = 'open_jobs',
  SubmitJob = 'submit',
  QueryJob = 'ask',
  AbandonJob = 'abandon',
  UnansweredJobs = 'unanswered',
  OrderAnswered = 'answered',
}

/** An endpoint answered an order, or an answer is no longer expected. @public */
export interface OrderAnswered {
  readonly kind: DispatchEventKind.OrderAnswered
  readonly order: EndpointOrder
  readonly sentAt: number
  readonly answer: OrderAnswer
}

/** An input of the dispatcher. @public */
export type DispatchEvent =
  /** This instance became leader in the given term. */
  | {
      readonly kind: DispatchEventKind.BecomeLeader
      readonly term: number
      readonly table: RoutingTable | undefined
      /** See `DrainedZones`; as committed at the beginning of the term. */
      readonly drainedZones: ReadonlySet<string>
    }
  /** Jobs come from entries of this zone only, and orders go to its endpoints only. */
  | {
      readonly kind: DispatchEventKind.BecomeZoneDispatcher
      readonly term: number
      readonly grant: number
      readonly zone: string
      /** The last routing table that this instance knows. */
      readonly table: RoutingTable | undefined
      /** See `DrainedZones`; the last that this instance knows. */
      readonly drainedZones: ReadonlySet<string>
    }
  | { readonly kind: DispatchEventKind.StepDown }
  | {
      readonly kind: DispatchEventKind.ZoneServiceEnded
      readonly zone: string
      readonly term: number
      readonly grant: number
    }
  /** No majority has confirmed an earlier leader after the given time. */
  | {
      readonly kind: DispatchEventKind.EarlierLeadersConfirmed
      readonly term: number
      readonly confirmedUntil: number
    }
  /** A majority of the voters has sent this leader all endpoints that they know. */
  | { readonly kind: DispatchEventKind.DirectoryComplete; readonly term: number }
  /** The time at which a majority last confirmed this leader. */
  | { readonly kind: DispatchEventKind.LeadershipConfirmed; readonly at: number }
  | { readonly kind: DispatchEventKind.Routing; readonly table: RoutingTable }
  /** The availability zones whose endpoints get no more tasks, by order of an operator. */
  | {
      readonly kind: DispatchEventKind.DrainedZones
      readonly zones: ReadonlySet<string>
    }
  | { readonly kind: DispatchEventKind.Notice; readonly notice: EndpointNotice }
  /** Another instance reported lost endpoints. */
  | { readonly kind: DispatchEventKind.EndpointLosses; readonly losses: LossUpdate }
  /** Another instance sent what it has learnt as leader. */
  | { readonly kind: DispatchEventKind.LeaderHints; readonly hints: LeaderHints }
  /** Another instance asks which jobs this leader may be running. */
  | {
      readonly kind: DispatchEventKind.ReadOpenJobs
      readonly from: string
      readonly req: ReadOpenJobs
    }
  /** A leader answered such a request of this process. */
  | { readonly kind: DispatchEventKind.OpenJobs; readonly openJobs: OpenJobs }
  | { readonly kind: DispatchEventKind.SubmitJob; readonly from: string; readonly req: SubmitJob }
  | { readonly kind: DispatchEventKind.QueryJob; readonly from: string; readonly req: AskJob }
  | { readonly kind: DispatchEventKind.AbandonJob; readonly from: string; readonly req: AbandonJob }
  | { readonly kind: DispatchEventKind.UnansweredJobs; readonly req: UnansweredJobs }
  | OrderAnswered
