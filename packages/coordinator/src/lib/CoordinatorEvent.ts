import type { InstanceView } from '@cherryhitch/model'
import type {
  ClaimAnswer,
  FenceReports,
  ForwardJob,
  JobQuery,
  JobReply,
  JobSpec,
  PresetDefinition,
  TaskReports,
} from '@cherryhitch/protocol'

/** Kinds of events that a coordinator handles. @public */
export enum CoordinatorEventKind {
  Submit = 'submit',
  Query = 'query',
  CallerGone = 'caller_gone',
  Message = 'message',
  ClaimAnswered = 'claim_answered',
  Members = 'members',
  Preset = 'preset',
  Drain = 'drain',
}

/** Messages from other instances that are addressed to a coordinator. @public */
export type CoordinatorMessage =
  | { readonly case: 'taskReports'; readonly value: TaskReports }
  | { readonly case: 'fenceReports'; readonly value: FenceReports }
  | { readonly case: 'forwardJob'; readonly value: ForwardJob }
  | { readonly case: 'jobQuery'; readonly value: JobQuery }
  | { readonly case: 'jobReply'; readonly value: JobReply }

/** @public */
export type CoordinatorEvent =
  /** A job submitted by a caller. It gets exactly one Reply unless the caller disconnects first. */
  | {
      readonly kind: CoordinatorEventKind.Submit
      /** Unique within this process. */
      readonly requestId: string
      readonly job: JobSpec
      readonly respondAsync: boolean
    }
  /**
   * A caller's query about a job, which may belong to another instance. It gets exactly one Reply
   * unless the caller disconnects first.
   */
  | {
      readonly kind: CoordinatorEventKind.Query
      readonly requestId: string
      readonly jobId: string
      readonly caller: string
      readonly cancel: boolean
      readonly wait: boolean
    }
  /** The caller disconnected before the Reply. */
  | { readonly kind: CoordinatorEventKind.CallerGone; readonly requestId: string }
  | {
      readonly kind: CoordinatorEventKind.Message
      readonly from: string
      readonly message: CoordinatorMessage
    }
  /** The answer to a Claim action; undefined if the voters' quorum gave none. */
  | {
      readonly kind: CoordinatorEventKind.ClaimAnswered
      readonly jobId: string
      readonly answer: ClaimAnswer | undefined
      /** Whether the claim may still be committed if there is no answer. */
      readonly mayBeClaimed: boolean
    }
  | { readonly kind: CoordinatorEventKind.Members; readonly members: readonly InstanceView[] }
  | {
      readonly kind: CoordinatorEventKind.Preset
      readonly preset: PresetDefinition
      readonly version: number
      /** Whether the voters' quorum confirmed the version recently. */
      readonly current: boolean
    }
  | { readonly kind: CoordinatorEventKind.Drain }
