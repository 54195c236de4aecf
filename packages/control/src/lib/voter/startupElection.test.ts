import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { awaitLeader, simulate } from '../testing/simulation'

const VOTERS = ['a', 'b', 'c']
const MAJORITY = 2
const SEEDS = Array.from({ length: 20 }, (_, i) => i + 1)
const ELECTION_MIN_MS = 300
const voterTiming = {
  heartbeatMs: 60,
  electionMinMs: ELECTION_MIN_MS,
  electionMaxMs: 600,
  startupElectionMaxMs: 400,
}
/** Processes that start together are up within this time of each other. */
const START_SPREAD_MS = 140

/** Milliseconds from the start of a majority to a leader, after all have lost power. */
function electAfterPowerLoss(seed: number): number {
  const cluster = simulate({ seed, voters: VOTERS, voterTiming, syncMs: 9 })
  for (const voter of VOTERS) cluster.crash(voter)
  cluster.run(500)
  let majorityAt = 0
  for (const [i, voter] of VOTERS.entries()) {
    cluster.start(voter)
    if (i + 1 === MAJORITY) majorityAt = cluster.now
    cluster.run(START_SPREAD_MS / VOTERS.length)
  }
  awaitLeader(cluster)
  return cluster.now - majorityAt
}

describe('voters that start together', () => {
  it('elect a leader without waiting for one that can not exist', () => {
    const times = SEEDS.map(electAfterPowerLoss)
    const meanMs = times.reduce((sum, ms) => sum + ms, 0) / times.length
    assert.ok(meanMs < ELECTION_MIN_MS, `a leader after ${meanMs} ms on average`)
  })
})

describe('a voter that starts beside a leader', () => {
  for (const seed of SEEDS.slice(0, 5)) {
    it(`does not disrupt it, with seed ${seed}`, () => {
      const cluster = simulate({ seed, voters: VOTERS, voterTiming, syncMs: 9 })
      const leader = awaitLeader(cluster)
      const term = cluster.voter(leader)?.term
      for (const voter of VOTERS.filter((name) => name !== leader)) {
        cluster.crash(voter)
        cluster.run(200)
        cluster.start(voter)
        cluster.run(1_500)
      }
      assert.equal(cluster.leader(), leader)
      assert.equal(cluster.voter(leader)?.term, term)
    })
  }
})
