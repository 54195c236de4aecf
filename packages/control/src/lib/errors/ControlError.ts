import { StorageError } from '@cherryhitch/storage'
import { Data } from 'effect'

/** @public */
export enum ControlErrorKind {
  /** The disk failed or its contents are damaged; see `cause`. */
  Storage = 'storage',
  /** The folder already holds a voter. */
  AlreadyInitialized = 'already_initialized',
  /** The arguments do not describe a valid set of voters. */
  InvalidMembers = 'invalid_members',
  /** A claim may or may not have been committed: its job must not be dispatched. */
  ClaimUnknown = 'claim_unknown',
}

/** The errors of this package, distinguished by `kind`. @public */
export class ControlError extends Data.TaggedError('ControlError')<{
  readonly kind: ControlErrorKind
  readonly detail: string
  readonly cause?: unknown
}> {
  /** True if a disk failed in a way that may pass by itself. */
  get isTransient(): boolean {
    return this.cause instanceof StorageError && this.cause.isTransient
  }

  override get message(): string {
    return this.detail
  }
}
