import type { SpanRecord } from '@cherryhitch/model'
import type { ClaimEnd, Envelope, JobAnswer, KeyClaim } from '@cherryhitch/protocol'

/** What a coordinator asks its shell to do. @public */
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
      /** Undefined: no such job is known. */
      readonly answer: JobAnswer | undefined
    }
  /** Claim the key durably; ClaimAnswered follows. */
  | { readonly kind: CoordinatorActionKind.Claim; readonly claim: KeyClaim }
  /** Record the outcome of a claimed job. */
  | { readonly kind: CoordinatorActionKind.EndClaim; readonly end: ClaimEnd }
  | { readonly kind: CoordinatorActionKind.Span; readonly span: SpanRecord }
  /** Draining is over: no job is in flight. */
  | { readonly kind: CoordinatorActionKind.Drained }
