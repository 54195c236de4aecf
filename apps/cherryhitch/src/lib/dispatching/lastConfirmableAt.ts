import { majorityOf } from './majorityOf'

/**
 * Latest time at which a majority of the voters can have confirmed an earlier leader. Each voter of
 * that majority followed the leader then; one that hasn't answered may still follow it.
 *
 * @param followedUntil - for each voter that has answered, when it last followed an earlier leader
 * @internal
 */
export function lastConfirmableAt(followedUntil: readonly number[], voters: number): number {
  const unanswered = voters - followedUntil.length
  const latestFirst = [...followedUntil].sort((one, other) => other - one)
  return latestFirst[majorityOf(voters) - unanswered - 1] ?? Infinity
}
