import assert from 'node:assert/strict'
import { CommandResult, VoterChangeKind } from '@cherryhitch/protocol'
import type { Command, CommandAnswer } from '@cherryhitch/protocol'
import { SimulatedCluster } from '../soak/SimulatedCluster'
import type { SimulationOptions } from '../soak/SimulatedCluster'
import { changeVoters } from './commands'

const SIMULATED_TIMEOUT_MS = 30_000

/** A simulated cluster with three voters, the given spare disks and a follower. */
export function simulate(options: Partial<SimulationOptions> = {}): SimulatedCluster {
  const cluster = new SimulatedCluster({
    seed: 7,
    voters: ['a', 'b', 'c'],
    spares: [],
    followers: ['f'],
    link: { maxDelayMs: 2, loss: 0, duplication: 0 },
    syncMs: 4,
    ...options,
  })
  awaitLeader(cluster)
  // After this time every instance knows the leader and the settings.
  cluster.run(2_000)
  return cluster
}

/** Waits for a leader that has committed its whole log, other than `other` if that is given. */
export function awaitLeader(cluster: SimulatedCluster, other?: string): string {
  const found = cluster.runUntil(() => {
    const leader = cluster.leader()
    if (leader === undefined || leader === other) return false
    const { commitIndex = 0, lastIndex = 1 } = cluster.voter(leader) ?? {}
    return commitIndex === lastIndex
  }, SIMULATED_TIMEOUT_MS)
  const leader = cluster.leader()
  if (!found || leader === undefined)
    throw new Error('no leader with a fully committed log within the time limit')
  return leader
}

/** Proposes a command and waits for the answer. */
export function proposeAndWait(
  cluster: SimulatedCluster,
  instance: string,
  command: Command,
): CommandAnswer {
  cluster.answers.delete(command.commandId)
  cluster.propose(instance, command)
  const answered = cluster.runUntil(
    () => cluster.answers.has(command.commandId),
    SIMULATED_TIMEOUT_MS,
  )
  const answer = cluster.answers.get(command.commandId)
  if (!answered || answer === undefined)
    throw new Error('the command was not answered within the time limit')
  return answer
}

/** Name of an answer's result; `none` without an answer. */
export function resultOf(answer: CommandAnswer | undefined): string {
  return answer === undefined ? 'none' : CommandResult[answer.result]
}

/** The two of the three voters that do not lead. */
export function otherVoters(leader: string): [string, string] {
  const [first, second] = ['a', 'b', 'c'].filter((instance) => instance !== leader)
  if (first === undefined || second === undefined) throw new Error('three voters are needed')
  return [first, second]
}

/** Adds the instance's disk as a learner; returns the id of the disk. */
export function addLearner(cluster: SimulatedCluster, instance: string): string {
  const diskId = cluster.diskId(instance)
  const command = changeVoters(`add ${diskId}`, VoterChangeKind.ADD_LEARNER, instance, diskId)
  assert.equal(resultOf(proposeAndWait(cluster, 'f', command)), 'APPLIED')
  return diskId
}

/** Disk ids of the members according to the leader, sorted; learners in parentheses. */
export function votersOf(cluster: SimulatedCluster): string[] {
  const leader = awaitLeader(cluster)
  const members = cluster.voter(leader)?.status(cluster.now)?.members ?? []
  return members.map(({ diskId, learner }) => (learner ? `(${diskId})` : diskId)).sort()
}
