import assert from 'node:assert/strict'
import { afterEach, describe, it } from 'node:test'
import { create } from '@bufbuild/protobuf'
import { CommandResult, CommandSchema } from '@cherryhitch/protocol'
import { Effect } from 'effect'
import { drainedZonesOf } from '../state/zoneDrains'
import { setZoneDrain } from '../testing/commands'
import { NodeCluster, quickTiming, waitUntil } from '../testing/nodeCluster'
import type { ControlNodeOptions } from './ControlNodeOptions'

const voters = ['a', 'b', 'c']
let cluster = new NodeCluster([])

afterEach(async () => {
  await cluster.stopAll()
})

async function startVoters(options: Partial<ControlNodeOptions> = {}): Promise<void> {
  cluster = new NodeCluster(voters, { ...quickTiming, ...options })
  for (const name of voters) await cluster.start(name)
  const followsLeader = (name: string): boolean => cluster.node(name).followedLeader() !== ''
  await waitUntil(() => voters.every(followsLeader), 'all voters follow a leader')
}

async function drain(instance: string, commandId: string): Promise<CommandResult> {
  const command = setZoneDrain(commandId, 'z1', true, 1)
  const { result } = await Effect.runPromise(cluster.node(instance).propose(command))
  return result
}

function knowsDrain(instance: string): boolean {
  const { zoneDrains = [] } = cluster.node(instance).committedSettings() ?? {}
  return drainedZonesOf(zoneDrains).has('z1')
}

describe('the drain of a zone in the replicated log', () => {
  it('is acknowledged at any instance, and known to all voters', async () => {
    await startVoters()
    assert.equal(await drain('b', 'first'), CommandResult.APPLIED)
    assert.equal(await drain('c', 'again'), CommandResult.APPLIED)
    await waitUntil(() => voters.every(knowsDrain), 'all voters know it')
  })

  it('is reported to the leader of the next term when all voters have lost power', async () => {
    await startVoters()
    await drain('a', 'first')
    for (const name of voters) await cluster.stop(name)
    const reported: string[][] = []
    const onLeadership: ControlNodeOptions['onLeadership'] = (term, { settings }) => {
      if (term !== undefined) reported.push([...drainedZonesOf(settings?.zoneDrains ?? [])])
    }
    for (const name of voters) await cluster.start(name, { onLeadership })
    await waitUntil(() => reported.length > 0, 'a leader is elected')
    assert.deepEqual(reported[0], ['z1'])
  })

  it('has no effect without a majority', async () => {
    await startVoters({ clientTiming: { ...quickTiming.clientTiming, proposalTimeoutMs: 300 } })
    await cluster.stop('b')
    await cluster.stop('c')
    const result = await drain('a', 'alone')
    assert.ok(result === CommandResult.UNAVAILABLE || result === CommandResult.UNKNOWN)
    assert.equal(knowsDrain('a'), false)
  })

  it('is refused while a voter runs a build that would skip it', async () => {
    await startVoters({ clientTiming: { ...quickTiming.clientTiming, proposalTimeoutMs: 300 } })
    // Earlier builds do not report a command version.
    cluster.changeMessage = (body) => {
      if (body.case !== 'appendReply') return
      if (body.value.diskId.startsWith('c-')) body.value.commandVersion = 0
    }
    if (cluster.node('c').isLeader()) cluster.node('c').transferLeadership()
    await waitUntil(() => cluster.node('a').isLeader() || cluster.node('b').isLeader(), 'c follows')
    await new Promise((resolve) => setTimeout(resolve, 3 * quickTiming.voterTiming.heartbeatMs))
    assert.equal(await drain('a', 'early'), CommandResult.UNAVAILABLE)
    cluster.changeMessage = undefined
    await new Promise((resolve) => setTimeout(resolve, 3 * quickTiming.voterTiming.heartbeatMs))
    assert.equal(await drain('a', 'upgraded'), CommandResult.APPLIED)
  })

  it('is not proposed to a leader whose build would not apply it', async () => {
    await startVoters({ clientTiming: { ...quickTiming.clientTiming, proposalTimeoutMs: 300 } })
    cluster.changeMessage = (body) => {
      if (body.case === 'appendEntries') body.value.commandVersion = 0
    }
    await new Promise((resolve) => setTimeout(resolve, 3 * quickTiming.voterTiming.heartbeatMs))
    const follower = voters.find((name) => !cluster.node(name).isLeader()) ?? ''
    assert.equal(await drain(follower, 'early'), CommandResult.UNAVAILABLE)
    assert.ok(!voters.some(knowsDrain))
  })

  it('is no reason to accept a command without content', async () => {
    await startVoters({ clientTiming: { ...quickTiming.clientTiming, proposalTimeoutMs: 300 } })
    const empty = create(CommandSchema, { commandId: 'empty' })
    const { result } = await Effect.runPromise(cluster.node('a').propose(empty))
    assert.equal(result, CommandResult.UNAVAILABLE)
    assert.equal(await drain('a', 'afterwards'), CommandResult.APPLIED)
  })
})
