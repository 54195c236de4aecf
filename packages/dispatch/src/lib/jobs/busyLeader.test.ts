import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { Mechanism } from '@cherryhitch/model'
import { defaultLeaderCosts } from '../soak/PayingLeader'
import type { LeaderCosts } from '../soak/PayingLeader'
import { playLoad } from '../soak/playLoad'
import { IntakeLimit } from './IntakeLimit'

const ENDPOINTS = 100

/** Costs of a leader whose processor is slower by a factor. */
function slower(factor: number): LeaderCosts {
  const { event, action, rankedJob, visitedEndpoint, forecastPlace } = defaultLeaderCosts
  return {
    event: factor * event,
    action: factor * action,
    rankedJob: factor * rankedJob,
    visitedEndpoint: factor * visitedEndpoint,
    forecastPlace: factor * forecastPlace,
  }
}

/** At these costs the leader can dispatch about 0.4 of the capacity of the endpoints. */
const SLOW = slower(8)

describe('a leader whose processor is overloaded', () => {
  it('serves as many jobs as it has time for, and refuses the rest immediately', () => {
    const { inTime, refusedLate, unserved, counted, violations } = playLoad({
      load: 0.8,
      endpoints: ENDPOINTS,
      playMs: 3_000,
      costs: SLOW,
    })
    assert.ok(inTime > 0.38, `${inTime} in time`)
    assert.ok(refusedLate + unserved < 0.08, `${refusedLate + unserved} refused late or unserved`)
    assert.ok(counted.refused_busy > 0)
    assert.equal(counted.runs_lost, 0, 'leases that expired because they were renewed late')
    assert.deepEqual(violations, [])
  })

  it('serves almost no job in time without the intake limit', () => {
    const { inTime, violations } = playLoad({
      load: 0.8,
      endpoints: ENDPOINTS,
      playMs: 3_000,
      costs: SLOW,
      without: [Mechanism.IntakeLimit],
    })
    assert.ok(inTime < 0.1, `${inTime} in time`)
    assert.deepEqual(violations, [])
  })

  it('recovers within a second from 2.5 times the load that it can process', () => {
    const { inTime, violations } = playLoad({
      load: 1,
      endpoints: ENDPOINTS,
      playMs: 5_000,
      costs: SLOW,
      then: { load: 0.28, playMs: 3_000 },
    })
    assert.ok(inTime > 0.9, `${inTime} in time`)
    assert.deepEqual(violations, [])
  })

  it('admits all jobs while it keeps up', () => {
    const { counted } = playLoad({
      load: 1.3,
      endpoints: ENDPOINTS,
      playMs: 2_000,
      costs: defaultLeaderCosts,
    })
    assert.equal(counted.refused_busy, 0)
  })
})

describe('the intake limit', () => {
  const admitMany = (limit: IntakeLimit, jobs: number): number => {
    return Array.from({ length: jobs }, () => limit.admit()).filter((isAdmitted) => isAdmitted)
      .length
  }

  it('stays off after a single pause', () => {
    const limit = new IntakeLimit()
    for (let step = 0; step < 20; step++) {
      admitMany(limit, 4)
      limit.recordStep(step === 10 ? 5_000 : 3)
      assert.equal(limit.isBinding, false)
    }
  })

  it('falls while steps are delayed, and is lifted once they are not', () => {
    const limit = new IntakeLimit()
    for (let step = 0; step < 60; step++) {
      admitMany(limit, 20)
      limit.recordStep(80)
    }
    assert.ok(admitMany(limit, 20) < 5)
    for (let step = 0; step < 300; step++) limit.recordStep(3)
    assert.equal(limit.isBinding, false)
    assert.equal(admitMany(limit, 20), 20)
  })
})
