import assert from 'node:assert/strict'
import { afterEach, describe, it } from 'node:test'
import { CommandResult, VoterChangeKind } from '@cherryhitch/protocol'
import type { VoterStatus } from '@cherryhitch/protocol'
import { MemoryDisk } from '@cherryhitch/storage'
import { Effect } from 'effect'
import { changeVoters } from '../testing/commands'
import { NodeCluster, waitUntil } from '../testing/nodeCluster'
import { handOverVoter } from './handOverVoter'

const voters = ['a', 'b', 'c']
const LIMIT_MS = 3_000

let cluster = new NodeCluster([])

afterEach(async () => {
  await cluster.stopAll()
})

async function startVoters(): Promise<string> {
  cluster = new NodeCluster(voters)
  for (const name of voters) await cluster.start(name)
  const leader = (): string | undefined => voters.find((name) => cluster.node(name).isLeader())
  await waitUntil(() => leader() !== undefined, 'a leader is elected')
  return leader() ?? ''
}

async function membersSeenBy(instance: string): Promise<readonly VoterStatus[]> {
  const reply = await Effect.runPromise(cluster.node(instance).read(-1, 0))
  return reply.voters?.members ?? []
}

async function startLearner(instance: string): Promise<void> {
  const node = await cluster.start(instance, { disk: new MemoryDisk() })
  const diskId = node.diskId() ?? ''
  const command = changeVoters('add', VoterChangeKind.ADD_LEARNER, instance, diskId)
  const { result, detail } = await Effect.runPromise(node.propose(command))
  assert.equal(result, CommandResult.APPLIED, detail)
  const isStored = (): boolean => {
    return voters.every((name) => {
      const members = cluster.node(name).status()?.members ?? []
      return members.some((member) => member.diskId === diskId && member.matchIndex > 0)
    })
  }
  await waitUntil(isStored, 'every voter knows that the learner has caught up')
}

function leave(instance: string): Promise<void> {
  const control = cluster.node(instance)
  control.transferLeadership()
  const log = (line: string): unknown => cluster.lines.push(line)
  return Effect.runPromise(
    handOverVoter({ control, instance, boot: 1, limitMs: LIMIT_MS, now: Date.now, log }),
  )
}

describe('handOverVoter', () => {
  it('gives the place of a leader to a learner, so that its end costs no vote', async () => {
    const leader = await startVoters()
    await startLearner('d')
    await leave(leader)
    const members = await membersSeenBy('d')
    const expected = [...voters.filter((name) => name !== leader), 'd']
    assert.deepEqual(members.map(({ instance }) => instance).sort(), expected.sort())
    assert.ok(members.every(({ learner }) => !learner))
  })

  it('changes nothing where no learner could take the place', async () => {
    const leader = await startVoters()
    await leave(leader)
    const members = await membersSeenBy(leader)
    assert.deepEqual(members.map(({ instance }) => instance).sort(), voters)
  })

  it('gives up in time if no majority can be reached', async () => {
    const leader = await startVoters()
    await startLearner('d')
    cluster.setCutBothWays(
      [leader],
      [...voters, 'd'].filter((name) => name !== leader),
      true,
    )
    const startedAt = Date.now()
    await leave(leader)
    assert.ok(Date.now() - startedAt < 2 * LIMIT_MS)
    assert.ok(cluster.lines.some((line) => line.includes('was not handed over in time')))
  })
})
