import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { Mechanism } from '@cherryhitch/model'
import { defaultLeaderCosts } from '../soak/PayingLeader'
import type { LeaderCosts } from '../soak/PayingLeader'
import { playLoad } from '../soak/playLoad'
import { IntakeLimit } from './IntakeLimit'

const ENDPOINTS = 100

/** A leader on a slower processor. */
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

/** The leader carries some 0.4 of what the endpoints can do. */
const SLOW = slower(8)

describe('a leader that is asked for more than its processor can do', () => {
  it('serves what it has time for, and refuses the rest at once', () => {
    const { inTime, refusedLate, unserved, counted, violations } = playLoad({
      load: 0.8,
      endpoints: ENDPOINTS,
      playMs: 3_000,
      costs: SLOW,
    })
    assert.ok(inTime > 0.38, `${inTime} in time`)
    assert.ok(refusedLate + unserved < 0.08, `${refusedLate + unserved} refused late or unserved`)
    assert.ok(counted.refused_busy > 0)
    assert.equal(counted.runs_lost, 0, 'leases that lapsed for want of time')
    assert.deepEqual(violations, [])
  })

  it('would serve next to nobody in time if it took all jobs in', () => {
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

  it('serves as ever a second after 2.5 times of what it can do', () => {
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

  it('takes all jobs in while it keeps up', () => {
    const { counted } = playLoad({
      load: 1.3,
      endpoints: ENDPOINTS,
      playMs: 2_000,
      costs: defaultLeaderCosts,
    })
    assert.equal(counted.refused_busy, 0)
  })
})

describe('the limit of what is taken in', () => {
  const takeMany = (limit: IntakeLimit, jobs: number): number => {
    return Array.from({ length: jobs }, () => limit.admit()).filter((taken) => taken).length
  }

  it('does not bind after a single pause', () => {
    const limit = new IntakeLimit()
    for (let step = 0; step < 20; step++) {
      takeMany(limit, 4)
      limit.noteStep(step === 10 ? 5_000 : 3)
      assert.equal(limit.isBinding, false)
    }
  })

  it('falls while the instance is behind, and rises once it is not', () => {
    const limit = new IntakeLimit()
    for (let step = 0; step < 60; step++) {
      takeMany(limit, 20)
      limit.noteStep(80)
    }
    assert.ok(takeMany(limit, 20) < 5)
    for (let step = 0; step < 300; step++) limit.noteStep(3)
    assert.equal(limit.isBinding, false)
    assert.equal(takeMany(limit, 20), 20)
  })
})
