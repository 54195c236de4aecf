/**
 * Guards against a voter or learner that lacks what is committed for longer than a returned machine
 * counts as lost: a snapshot that was lost on its way was sent again only after 5 s.
 */
import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { VoterChangeKind } from '@cherryhitch/protocol'
import type { SimulatedCluster } from '../soak/SimulatedCluster'
import { changeVoters, setPreset } from '../testing/commands'
import { awaitLeader, otherVoters, proposeAndWait, simulate } from '../testing/simulation'

/** A machine that is back counts as lost for 4 s; finding the others takes a part of that. */
const LIMIT_MS = 2_000
const TICK_MS = 50

function startCluster(): SimulatedCluster {
  return simulate({ spares: ['d'], limits: { snapshotEvery: 4, entriesKept: 1 }, seed: 3 })
}

/** Commits entries until the leader holds them only in a snapshot. */
function fillLog(cluster: SimulatedCluster): void {
  for (let version = 1; version < 20; version++) {
    const preset = version % 2 === 0 ? 'maintenance' : 'peak'
    proposeAndWait(cluster, 'f', setPreset(`fill ${version}`, preset, version))
  }
}

function holdsAll(cluster: SimulatedCluster, instance: string): boolean {
  const { commitIndex = Infinity } = cluster.voter(awaitLeader(cluster)) ?? {}
  return (cluster.voter(instance)?.lastIndex ?? -1) >= commitIndex
}

/** Runs until the leader has sent a snapshot, which is still on its way. */
function runUntilSnapshot(cluster: SimulatedCluster, instance: string): void {
  const sent = (): number => {
    return cluster.lines.filter(
      (line) => line.includes(`on ${instance}`) && line.includes('sending a snapshot'),
    ).length
  }
  const before = sent()
  assert.ok(cluster.runUntil(() => sent() > before, 10_000, 1))
}

describe('a snapshot that is lost on its way', () => {
  it('is sent again in time to a learner whose process ends meanwhile', () => {
    const cluster = startCluster()
    fillLog(cluster)
    const diskId = cluster.diskId('d')
    cluster.propose('f', changeVoters('add', VoterChangeKind.ADD_LEARNER, 'd', diskId))
    runUntilSnapshot(cluster, 'd')
    cluster.crash('d')
    cluster.run(TICK_MS)
    cluster.start('d')
    assert.ok(cluster.runUntil(() => holdsAll(cluster, 'd'), LIMIT_MS))
  })

  it('is sent again in time to a voter that was away', () => {
    const cluster = startCluster()
    const [away] = otherVoters(awaitLeader(cluster))
    cluster.crash(away)
    fillLog(cluster)
    cluster.start(away)
    assert.ok(cluster.runUntil(() => holdsAll(cluster, away), LIMIT_MS))
  })
})
