import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { SlownessTracker, SpreadFastPicker } from '../../index'
import type { PlacementCandidate, QueuedTask } from '../../index'
import { RandomPicker } from './RandomPicker'
import { PlacementSimulation } from '../bench/simulatePlacement'

function candidate(endpoint: string, part: Partial<PlacementCandidate> = {}): PlacementCandidate {
  return {
    endpoint,
    rack: 'r1',
    slots: 8,
    busySlots: 0,
    slowness: 1,
    sameJobHere: 0,
    sameJobInRack: 0,
    ...part,
  }
}

const task: QueuedTask = {
  taskId: 'j.0',
  jobId: 'j',
  caller: 'desk',
  service: 's',
  deadlineAt: 60_000,
  enqueuedAt: 0,
  estimateMs: 300,
  jobRemaining: 1,
  resources: undefined,
  attempt: 0,
}

describe('SpreadFastPicker', () => {
  const cases: [string, PlacementCandidate[], string][] = [
    ['the faster endpoint', [candidate('slow', { slowness: 1.5 }), candidate('fast')], 'fast'],
    ['the less busy endpoint', [candidate('busy', { busySlots: 6 }), candidate('idle')], 'idle'],
    [
      'the endpoint without a task of the same job',
      [candidate('same', { sameJobHere: 4 }), candidate('other')],
      'other',
    ],
    [
      'an endpoint in a rack without a task of the same job',
      [candidate('same', { sameJobInRack: 20 }), candidate('other', { rack: 'r2' })],
      'other',
    ],
    [
      'a fast but busy endpoint over an idle straggler',
      [candidate('fast', { busySlots: 7, sameJobHere: 7 }), candidate('slow', { slowness: 8 })],
      'fast',
    ],
  ]
  for (const [what, candidates, expected] of cases) {
    it(`takes ${what}`, () => {
      for (const order of [candidates, [...candidates].reverse()]) {
        assert.equal(new SpreadFastPicker().pick(0, task, order)?.endpoint, expected)
      }
    })
  }

  it('picks nothing without candidates', () => {
    assert.equal(new SpreadFastPicker().pick(0, task, []), undefined)
  })

  const straggler = [candidate('slow', { slowness: 4 })]

  it('holds a task for the extra run time at a straggler, then picks the straggler', () => {
    const picker = new SpreadFastPicker()
    assert.equal(picker.pick(1000, task, straggler), undefined)
    assert.equal(picker.pick(1899, task, straggler), undefined)
    assert.equal(picker.pick(1900, task, straggler)?.endpoint, 'slow')
  })

  it('does not hold a task when the next slot is expected after the straggler would end', () => {
    const picker = new SpreadFastPicker()
    assert.equal(picker.pick(0, task, straggler, { nextSlotMs: 2000 })?.endpoint, 'slow')
    assert.equal(picker.pick(0, task, straggler, { nextSlotMs: 20 }), undefined)
  })

  it('never holds a task for longer than the limit', () => {
    const picker = new SpreadFastPicker({ maxHoldMs: 700 })
    const outlook = { nextSlotMs: 1 }
    assert.equal(picker.pick(0, task, straggler, outlook), undefined)
    assert.equal(picker.pick(700, task, straggler, outlook)?.endpoint, 'slow')
  })

  it('completes jobs sooner than random placement when there are stragglers', () => {
    const scenario = {
      endpoints: 11,
      slotsEach: 8,
      endpointsPerRack: 4,
      load: 0.6,
      jobs: 300,
      seed: 9,
      stragglers: 1,
      slowFactor: 8,
      tellsOutlook: false,
    }
    const sum = (values: readonly number[]): number => values.reduce((all, one) => all + one, 0)
    const random = new PlacementSimulation(scenario, new RandomPicker()).run()
    const fast = new PlacementSimulation(scenario, new SpreadFastPicker()).run()
    assert.equal(fast.stretches.length, 300)
    assert.equal(fast.tasks, random.tasks)
    assert.ok(sum(fast.stretches) < 0.9 * sum(random.stretches))
  })
})

describe('slowness relative to peers', () => {
  const observe = (
    tracker: SlownessTracker,
    endpoint: string,
    factor: number,
    estimateMs = 200,
    now = 0,
  ): void => {
    for (let n = 0; n < 30; n++) {
      tracker.observe(now, { endpoint, service: 's', estimateMs, runMs: estimateMs * factor })
    }
  }

  it('is 1 for an unknown endpoint', () => {
    assert.equal(new SlownessTracker().slowness(0, 'e'), 1)
  })

  it('detects the straggler even when all estimates are ten times off', () => {
    const tracker = new SlownessTracker()
    for (const name of ['a', 'b', 'c']) observe(tracker, name, 0.1)
    observe(tracker, 'slow', 0.8)
    assert.ok(Math.abs(tracker.slowness(0, 'a') - 1) < 0.01)
    assert.ok(tracker.slowness(0, 'slow') > 5)
  })

  it('does not mistake long tasks for slowness', () => {
    const tracker = new SlownessTracker()
    observe(tracker, 'short', 1, 50)
    observe(tracker, 'long', 1, 5000)
    assert.ok(Math.abs(tracker.slowness(0, 'long') - 1) < 0.01)
  })

  it('detects the slower of two endpoints', () => {
    const tracker = new SlownessTracker()
    observe(tracker, 'a', 1)
    observe(tracker, 'b', 8)
    assert.ok(tracker.slowness(0, 'b') > 4)
    assert.ok(Math.abs(tracker.slowness(0, 'a') - 1) < 0.01)
  })

  it('decays, so that an unused endpoint is tried again', () => {
    const tracker = new SlownessTracker()
    for (const name of ['a', 'b', 'c']) observe(tracker, name, 1)
    observe(tracker, 'slow', 8)
    assert.ok(tracker.slowness(180_000, 'slow') < 2)
  })

  it('is reset when an endpoint is removed', () => {
    const tracker = new SlownessTracker()
    observe(tracker, 'a', 1)
    observe(tracker, 'b', 8)
    tracker.remove('b')
    assert.equal(tracker.slowness(0, 'b'), 1)
  })
})
