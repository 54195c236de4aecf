import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { JobVerdict } from '@cherryhitch/protocol'
import { DispatchSimulation } from '../soak/DispatchSimulation'
import { FifoPolicy, LeastSlackPolicy } from './QueuePolicy'
import type { QueuePolicy } from './QueuePolicy'

/** Twelve slots and runs of 120 ms: 100 tasks per second use the whole capacity. */
const ENDPOINTS = 4
const SLOTS_PER_ENDPOINT = 3
const RUN_MS = 120
const JOBS = 400
/** Objective of a job: 1.6 times its run time by the learned estimate, plus 60 ms. */
const OBJECTIVE_MS = 1.6 * RUN_MS + 60

interface LoadResult {
  readonly inTime: number
  readonly refused: number
  /** Longest time until a caller got its refusal. */
  readonly longestRefusalMs: number
  readonly violations: readonly string[]
}

/** Simulates jobs of two tasks that arrive at a share of the slot capacity. */
function simulate(order: QueuePolicy, share: number): LoadResult {
  const world = new DispatchSimulation({
    leaders: 1,
    endpoints: ENDPOINTS,
    placesEach: SLOTS_PER_ENDPOINT,
    random: () => 0.5,
    order,
  })
  world.elect(0, 0)
  world.run(1_200)
  const gapMs = (2 * RUN_MS) / (ENDPOINTS * SLOTS_PER_ENDPOINT * share)
  const sentAt = new Map<string, number>()
  for (let i = 0; i < JOBS; i++) {
    sentAt.set(`j${i}`, world.now)
    world.submit(`j${i}`, 2, { deadlineMs: 1_500 })
    world.run(gapMs)
  }
  world.run(3_000)
  const waits = [...world.outcomes].map(([id, { verdict }]) => {
    return { verdict, ms: (world.answeredAt.get(id) ?? 0) - (sentAt.get(id) ?? 0) }
  })
  const done = waits.filter(({ verdict }) => verdict === JobVerdict.COMPLETED)
  const refused = waits.filter(({ verdict }) => verdict === JobVerdict.REFUSED)
  return {
    inTime: done.filter(({ ms }) => ms <= OBJECTIVE_MS).length / JOBS,
    refused: refused.length / JOBS,
    longestRefusalMs: Math.max(0, ...refused.map(({ ms }) => ms)),
    violations: world.violations,
  }
}

describe('jobs that arrive below, at and above the rate of the slot capacity', () => {
  it('are all served in time at three quarters of the capacity', () => {
    const { inTime, refused, violations } = simulate(new LeastSlackPolicy(), 0.75)
    assert.equal(refused, 0)
    assert.ok(inTime > 0.98, `${inTime} in time`)
    assert.deepEqual(violations, [])
  })

  it('are served up to capacity at 1.5 times the capacity, and the rest is refused early', () => {
    const { inTime, refused, longestRefusalMs, violations } = simulate(new LeastSlackPolicy(), 1.5)
    assert.ok(inTime > 0.55, `${inTime} in time`)
    assert.ok(refused < 0.4, `${refused} refused`)
    assert.ok(longestRefusalMs < OBJECTIVE_MS, `${longestRefusalMs} ms until a refusal`)
    assert.deepEqual(violations, [])
  })

  it('are served no worse with least slack first than with first come, first served', () => {
    for (const share of [0.75, 1, 1.5]) {
      const slack = simulate(new LeastSlackPolicy(), share).inTime
      const arrival = simulate(new FifoPolicy(), share).inTime
      assert.ok(slack >= arrival - 0.02, `${slack} against ${arrival} at ${share}`)
    }
  })
})
