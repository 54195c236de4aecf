import { Data } from 'effect'

/** @public */
export enum ControlErrorKind {
  /** The disk failed or what it holds is damaged; the cause says which. */
  Storage = 'storage',
  /** The folder holds a set of voters already. */
  AlreadyInitialized = 'already_initialized',
  /** The arguments name no sensible set of voters. */
  InvalidMembers = 'invalid_members',
  /** A claim may or may not have been committed: its job must not be dispatched. */
  ClaimUnknown = 'claim_unknown',
}

/** What can go wrong in this package, by kind. @public */
export class ControlError extends Data.TaggedError('ControlError')<{
  readonly kind: ControlErrorKind
  readonly detail: string
  readonly cause?: unknown
}> {
  override get message(): string {
    return this.detail
  }
}
