import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { seededRandom } from '@cherryhitch/model'
import { JobVerdict } from '@cherryhitch/protocol'
import { DispatchSimulation } from '../soak/DispatchSimulation'

/**
 * Sixty slots, runs of 60 ms, jobs of eight tasks: 60 jobs per second keep half of the slots busy.
 */
const ENDPOINTS = 20
const SLOTS_PER_ENDPOINT = 3
const RUN_MS = 60
const TASKS = 8
const GAP_MS = 16
const JOBS = 600
/** Objective of a job: 1.6 times its run time plus 60 ms. */
const OBJECTIVE_MS = 1.6 * RUN_MS + 60
const DEADLINE_MS = 1_500

interface LoadResult {
  readonly inTime: number
  /** Callers without an answer until shortly before their deadline. */
  readonly unanswered: number
  readonly violations: readonly string[]
}

/**
 * Simulates jobs while a share of the orders to endpoints gets no answer and is carried out seconds
 * later. Guards against leaders that wait for such answers instead of querying endpoints and
 * repeating start orders. Without these two, the share of jobs in time was 0.41 with one lost order
 * in twenty and 0.04 with one in five; with them it is 0.998 and 0.87. Without lost orders, all are
 * in time.
 */
function simulate(lateOrder: number): LoadResult {
  const world = new DispatchSimulation({
    leaders: 1,
    endpoints: ENDPOINTS,
    placesEach: SLOTS_PER_ENDPOINT,
    random: seededRandom(5),
    runMs: RUN_MS,
    chances: { lateOrder },
  })
  world.elect(0, 0)
  world.run(1_500)
  const sentAt = new Map<string, number>()
  for (let i = 0; i < JOBS; i++) {
    sentAt.set(`j${i}`, world.now)
    world.submit(`j${i}`, TASKS, { deadlineMs: DEADLINE_MS })
    world.run(GAP_MS)
  }
  world.run(3_000)
  const waits = [...sentAt].map(([id, at]) => ({
    verdict: world.outcomes.get(id)?.verdict,
    ms: (world.answeredAt.get(id) ?? Infinity) - at,
  }))
  const isInTime = ({ verdict, ms }: (typeof waits)[number]): boolean => {
    return verdict === JobVerdict.COMPLETED && ms <= OBJECTIVE_MS
  }
  return {
    inTime: waits.filter(isInTime).length / JOBS,
    unanswered: waits.filter(({ ms }) => ms > DEADLINE_MS - 50).length,
    violations: world.violations,
  }
}

describe('jobs while orders get no answer and are carried out late', () => {
  it('are all in time without such orders', () => {
    const { inTime, violations } = simulate(0)
    assert.ok(inTime > 0.98, `${inTime} in time`)
    assert.deepEqual(violations, [])
  })

  it('are nearly all in time with one order in twenty', () => {
    const { inTime, unanswered, violations } = simulate(0.05)
    assert.ok(inTime > 0.95, `${inTime} in time`)
    assert.equal(unanswered, 0)
    assert.deepEqual(violations, [])
  })

  it('are mostly in time with one order in five', () => {
    const { inTime, unanswered, violations } = simulate(0.2)
    assert.ok(inTime > 0.8, `${inTime} in time`)
    assert.equal(unanswered, 0)
    assert.deepEqual(violations, [])
  })
})
