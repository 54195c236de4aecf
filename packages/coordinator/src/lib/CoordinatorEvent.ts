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

/** What a coordinator can be told. @public */
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

/** Messages from other instances that concern a coordinator. @public */
export type CoordinatorMessage =
  | { readonly case: 'taskReports'; readonly value: TaskReports }
  | { readonly case: 'fenceReports'; readonly value: FenceReports }
  | { readonly case: 'forwardJob'; readonly value: ForwardJob }
  | { readonly case: 'jobQuery'; readonly value: JobQuery }
  | { readonly case: 'jobReply'; readonly value: JobReply }

/** @public */
export type CoordinatorEvent =
  /** A caller's job; it gets exactly one Reply unless the caller goes first. */
  | {
      readonly kind: CoordinatorEventKind.Submit
      /** Unique within this process. */
      readonly requestId: string
      readonly job: JobSpec
      readonly respondAsync: boolean
    }
  /** A caller's question about a job, which may be another instance's; exactly one Reply. */
  | {
      readonly kind: CoordinatorEventKind.Query
      readonly requestId: string
      readonly jobId: string
      readonly caller: string
      readonly cancel: boolean
      readonly wait: boolean
    }
  /** The caller's connection closed before the Reply. */
  | { readonly kind: CoordinatorEventKind.CallerGone; readonly requestId: string }
  | {
      readonly kind: CoordinatorEventKind.Message
      readonly from: string
      readonly message: CoordinatorMessage
    }
  /** The answer to Claim. Undefined: the quorum could not be reached, and it is not claimed. */
  | {
      readonly kind: CoordinatorEventKind.ClaimAnswered
      readonly jobId: string
      readonly answer: ClaimAnswer | undefined
      /** With no answer: whether the claim may still be committed. */
      readonly mayBeClaimed: boolean
    }
  | { readonly kind: CoordinatorEventKind.Members; readonly members: readonly InstanceView[] }
  | {
      readonly kind: CoordinatorEventKind.Preset
      readonly preset: PresetDefinition
      readonly version: number
      /** Whether the voters' quorum confirmed the version lately. */
      readonly current: boolean
    }
  | { readonly kind: CoordinatorEventKind.Drain }
