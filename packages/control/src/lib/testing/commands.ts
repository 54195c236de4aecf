import { create } from '@bufbuild/protobuf'
import { ClaimEndSchema, CommandSchema, KeyClaimSchema } from '@cherryhitch/protocol'
import type { ClaimEnd, Command, KeyClaim, VoterChangeKind } from '@cherryhitch/protocol'

/** An operator's change of preset. */
export function setPreset(
  commandId: string,
  name: string,
  fromVersion: number,
  operator = 'sato',
): Command {
  const value = { name, fromVersion, operator, reason: 'test', atMs: 1 }
  return create(CommandSchema, { commandId, change: { case: 'setPreset', value } })
}

/** An operator's order to drain a zone, or to restore it. */
export function setZoneDrain(
  commandId: string,
  zone: string,
  drained: boolean,
  fromVersion: number,
): Command {
  const value = { zone, drained, fromVersion, operator: 'sato', reason: 'test', atMs: 1 }
  return create(CommandSchema, { commandId, change: { case: 'setZoneDrain', value } })
}

/** A job's claim of a submission key. */
export function keyClaim(submissionKey: string, jobId: string, contentHash = 'hash'): KeyClaim {
  return create(KeyClaimSchema, { caller: 'desk', submissionKey, jobId, contentHash, atMs: 1 })
}

/** A command with a batch of claims, as a coordinator proposes it. */
export function claimKeys(commandId: string, claims: readonly KeyClaim[]): Command {
  return create(CommandSchema, {
    commandId,
    change: { case: 'claimKeys', value: { claims: [...claims] } },
  })
}

/** The end of a claim; without an answer it releases the key. */
export function claimEnd(submissionKey: string, jobId: string, answer = ''): ClaimEnd {
  return create(ClaimEndSchema, {
    caller: 'desk',
    submissionKey,
    jobId,
    answer: new TextEncoder().encode(answer),
    atMs: 1,
  })
}

/** An operator's membership change. */
export function changeVoters(
  commandId: string,
  kind: VoterChangeKind,
  instance: string,
  diskId: string,
): Command {
  const value = { kind, instance, diskId, operator: 'sato', reason: 'test', atMs: 1 }
  return create(CommandSchema, { commandId, change: { case: 'changeVoters', value } })
}
