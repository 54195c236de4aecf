import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { VoterChangeKind } from '@cherryhitch/protocol'
import type { SimulatedCluster } from '../soak/SimulatedCluster'
import { changeVoters, setPreset } from '../testing/commands'
import {
  addLearner,
  awaitLeader,
  otherVoters,
  proposeAndWait,
  resultOf,
  simulate,
  votersOf,
} from '../testing/simulation'

const STOP_MS = 2_500
const CAUGHT_UP_MS = 4_000
const VOTERS = ['a', 'b', 'c']
const deployedTiming = {
  replaceSilentMs: 2_000,
  heartbeatMs: 60,
  electionMinMs: 300,
  electionMaxMs: 600,
  startupElectionMaxMs: 400,
  resendMs: 300,
}

/** Three voters, and an instance `d` whose empty disk has had the time to catch up. */
function simulateWithSuccessor(): SimulatedCluster {
  const cluster = simulate({ spares: ['d'], voterTiming: deployedTiming })
  addLearner(cluster, 'd')
  cluster.run(CAUGHT_UP_MS)
  return cluster
}

function loseDisk(cluster: SimulatedCluster, instance: string): void {
  cluster.wipe(instance)
  cluster.start(instance)
}

describe('a voter that is replaced as planned', () => {
  for (const leads of [true, false]) {
    it(`costs no majority with the next lost disk, ${leads ? 'as leader' : 'as follower'}`, () => {
      const cluster = simulateWithSuccessor()
      const leader = awaitLeader(cluster)
      const leaving = leads ? leader : otherVoters(leader)[0]
      const [lost = ''] = VOTERS.filter((instance) => instance !== leaving)
      proposeAndWait(cluster, 'f', setPreset('before', 'peak', 1))
      cluster.stop(leaving, { handsOver: true, withinMs: STOP_MS })
      loseDisk(cluster, lost)
      awaitLeader(cluster)
      const answer = proposeAndWait(cluster, 'f', setPreset('after', 'maintenance', 2))
      assert.equal(resultOf(answer), 'APPLIED')
    })
  }

  it('keeps its place where no learner could take it', () => {
    const cluster = simulate({ spares: ['d'], voterTiming: deployedTiming })
    const before = votersOf(cluster)
    cluster.stop('a', { handsOver: true, withinMs: STOP_MS })
    cluster.start('a')
    cluster.run(CAUGHT_UP_MS)
    assert.deepEqual(votersOf(cluster), before)
  })
})

describe('two voters that leave at the same time', () => {
  it('leave no smaller set than one of them does', () => {
    const cluster = simulateWithSuccessor()
    const leaving = otherVoters(awaitLeader(cluster))
    const change = (kind: VoterChangeKind, by: string, of: string): void => {
      const diskId = cluster.diskId(of)
      const command = changeVoters(`${by} ${VoterChangeKind[kind]}`, kind, of, diskId)
      if (command.change.case === 'changeVoters') command.change.value.operator = by
      cluster.propose(by, command)
    }
    // Both find the set of three, then the larger one.
    for (const by of leaving) change(VoterChangeKind.PROMOTE, by, 'd')
    cluster.run(500)
    for (const by of leaving) change(VoterChangeKind.REMOVE, by, by)
    cluster.run(STOP_MS)
    assert.equal(votersOf(cluster).length, 3)
  })
})

describe('a voter whose own removal is not committed yet', () => {
  it('leads if it alone holds the newest entries, so that the next lost disk costs no majority', () => {
    const cluster = simulateWithSuccessor()
    const old = awaitLeader(cluster)
    const promote = changeVoters('in', VoterChangeKind.PROMOTE, 'd', cluster.diskId('d'))
    assert.equal(resultOf(proposeAndWait(cluster, 'f', promote)), 'APPLIED')
    cluster.cut(old, { from: true, to: true })
    cluster.propose(old, changeVoters('out', VoterChangeKind.REMOVE, old, cluster.diskId(old)))
    cluster.run(100)
    for (const instance of [...VOTERS, 'd']) cluster.crash(instance)
    cluster.cut(old, { from: false, to: false })
    cluster.wipe('d')
    for (const instance of [...VOTERS, 'd']) cluster.start(instance)
    const answer = proposeAndWait(cluster, 'f', setPreset('after', 'peak', 1))
    assert.equal(resultOf(answer), 'APPLIED')
    assert.deepEqual(votersOf(cluster).includes(cluster.diskId(old)), false)
  })
})

describe('restarts one after the other with a spare instance', () => {
  it('leave three voters that hold everything', () => {
    const cluster = simulateWithSuccessor()
    for (const instance of [...VOTERS, 'd']) {
      cluster.stop(instance, { handsOver: true, withinMs: STOP_MS })
      const [remaining = ''] = VOTERS.filter((other) => other !== instance)
      cluster.run(1_000)
      assert.equal(votersOf(cluster).filter((disk) => !disk.startsWith('(')).length, 3)
      assert.ok(cluster.isUp(remaining))
      cluster.start(instance)
      const isMember = votersOf(cluster).some((disk) => disk.includes(cluster.diskId(instance)))
      if (!isMember) addLearner(cluster, instance)
      cluster.run(CAUGHT_UP_MS)
    }
    assert.equal(cluster.voter(awaitLeader(cluster))?.status(cluster.now)?.safeLosses, 1)
  })
})
