import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import type { SimulatedCluster } from '../soak/SimulatedCluster'
import { setPreset } from '../testing/commands'
import { awaitLeader, decide, othersThan, resultOf, simulate } from '../testing/simulation'

const voterTiming = { firstElectionMs: 120, firstElectionStepMs: 100 }
const SEEDS = [1, 2, 3, 4, 5, 6, 7, 8]

/** Milliseconds until somebody leads. */
function timeToLead(cluster: SimulatedCluster): number {
  const since = cluster.now
  cluster.runUntil(() => cluster.leader() !== undefined, 10_000)
  return cluster.now - since
}

describe('the first election after a start', () => {
  it('does not wait as long as one in which a leader has fallen silent', () => {
    for (const seed of SEEDS) {
      const cluster = simulate({ seed, voterTiming })
      for (const instance of ['a', 'b', 'c']) cluster.crash(instance)
      const term = Math.max(
        ...['a', 'b', 'c'].map((instance) => cluster.voter(instance)?.term ?? 0),
      )
      for (const instance of ['a', 'b', 'c']) cluster.start(instance)
      // The first one asks, is voted for by two that sync their votes, and is seen at the next tick.
      assert.ok(timeToLead(cluster) <= 350)
      assert.equal(cluster.voter(cluster.leader() ?? '')?.term, term + 1, 'the first try wins')
    }
  })

  it('is won by another when the first to ask hears no answer', () => {
    for (const seed of SEEDS) {
      const cluster = simulate({ seed, voterTiming })
      for (const instance of ['a', 'b', 'c']) cluster.crash(instance)
      for (const instance of ['a', 'b', 'c']) cluster.start(instance)
      cluster.cut('a', { from: false, to: true })
      assert.ok(timeToLead(cluster) < 1_000)
      assert.notEqual(cluster.leader(), 'a')
    }
  })

  it('disturbs nobody when a single voter was restarted', () => {
    for (const seed of SEEDS) {
      const cluster = simulate({ seed, voterTiming })
      const leader = awaitLeader(cluster)
      const term = cluster.voter(leader)?.term
      const [restarted, other] = othersThan(leader)
      cluster.crash(restarted)
      cluster.cut(restarted, { from: false, to: true })
      cluster.start(restarted)
      cluster.run(2_000)
      cluster.cut(restarted, { from: false, to: false })
      cluster.run(2_000)
      assert.equal(cluster.voter(leader)?.term, term)
      assert.equal(awaitLeader(cluster), leader)
      assert.equal(resultOf(decide(cluster, other, setPreset('c', 'peak', 1))), 'APPLIED')
    }
  })

  it('waits as long as others once a leader was heard', () => {
    const cluster = simulate({ voterTiming })
    const leader = awaitLeader(cluster)
    const [first, second] = othersThan(leader)
    cluster.cut(leader, { from: true, to: true })
    cluster.run(500)
    assert.notEqual(cluster.leader(), first)
    assert.notEqual(cluster.leader(), second)
  })
})
