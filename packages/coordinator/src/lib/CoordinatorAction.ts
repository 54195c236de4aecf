import type { SpanRecord } from '@cherryhitch/model'
import type { ClaimEnd, Envelope, JobAnswer, KeyClaim } from '@cherryhitch/protocol'

/** Kinds of actions that the coordinator requests from its host. @public */
export enum CoordinatorActionKind {
  Send = 'send',
  Reply = 'reply',
  Claim = 'claim',
  EndClaim = 'end_claim',
  Span = 'span',
  Drained = 'drained',
}

/** @public */
export type CoordinatorAction =
  | { readonly kind: CoordinatorActionKind.Send; readonly to: string; readonly envelope: Envelope }
  | {
      readonly kind: CoordinatorActionKind.Reply
      readonly requestId: string
      /** Undefined if the job is unknown or belongs to another caller. */
      readonly answer: JobAnswer | undefined
    }
  /** Claims a submission key durably. The host answers with a ClaimAnswered event. */
  | { readonly kind: CoordinatorActionKind.Claim; readonly claim: KeyClaim }
  /** Records the answer of a claimed job, or releases its key if the answer is empty. */
  | { readonly kind: CoordinatorActionKind.EndClaim; readonly end: ClaimEnd }
  | { readonly kind: CoordinatorActionKind.Span; readonly span: SpanRecord }
  /** The coordinator has drained: it has no job in flight, and no request or answer is pending. */
  | { readonly kind: CoordinatorActionKind.Drained }
