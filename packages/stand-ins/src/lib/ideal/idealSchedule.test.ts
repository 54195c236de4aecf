import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { SeededRandom } from '../util/SeededRandom'
import type { IdealOrder } from './IdealOrder'
import { ArrivalOrder, LeastWorkOrder } from './IdealOrder'
import type { IdealJob } from './idealSchedule'
import { idealSchedule } from './idealSchedule'

function job(arrivalMs: number, ...runTimes: number[]): IdealJob {
  const tasks = runTimes.map((runMs) => ({ service: 'trace', runMs }))
  return { submission: `at ${arrivalMs}`, arrivalMs, tasks }
}

interface Case {
  name: string
  slots: number
  networkMs?: number
  order?: IdealOrder
  jobs: IdealJob[]
  expected: number[]
}

/** All worked by hand. */
const cases: Case[] = [
  { name: 'one job on an idle system', slots: 4, jobs: [job(0, 30, 100)], expected: [100] },
  { name: 'the network is added', slots: 4, networkMs: 7, jobs: [job(0, 30)], expected: [37] },
  { name: 'the longest task goes first', slots: 2, jobs: [job(0, 10, 20, 30)], expected: [30] },
  { name: 'no slot idles', slots: 2, jobs: [job(0, 10, 10, 10)], expected: [20] },
  {
    // 30 runs to 30; then the 5 (to 35) and the 40 (to 75).
    name: 'a running task is not stopped for a shorter job',
    slots: 1,
    jobs: [job(0, 30), job(1, 40), job(2, 5)],
    expected: [30, 74, 33],
  },
  {
    name: 'in the order of arrival the shorter job waits',
    slots: 1,
    order: new ArrivalOrder(),
    jobs: [job(0, 30), job(1, 40), job(2, 5)],
    expected: [30, 69, 73],
  },
  {
    // 50 and 50 start; at 10 the first job has 50 unstarted and the second 20, so it goes first:
    // 20 at 50 to 70, and the last 50 from 50 to 100.
    name: 'a large job started before lets a small one in between',
    slots: 2,
    jobs: [job(0, 50, 50, 50), job(10, 20)],
    expected: [100, 60],
  },
  {
    // The first two starve the third no longer than the slot is taken.
    name: 'slots idle between arrivals',
    slots: 1,
    jobs: [job(0, 10), job(100, 10)],
    expected: [10, 10],
  },
  { name: 'a load out of order', slots: 1, jobs: [job(5, 10), job(0, 10)], expected: [15, 10] },
  { name: 'no slots at all', slots: 0, jobs: [job(0, 1)], expected: [Infinity] },
]

describe('the ideal schedule', () => {
  for (const { name, slots, networkMs, order, jobs, expected } of cases) {
    it(`works out: ${name}`, () => {
      const times = idealSchedule(jobs, {
        slots: new Map([['trace', slots]]),
        networkMs: networkMs ?? 0,
        order: order ?? new LeastWorkOrder(),
      })
      assert.deepEqual(
        times.map(({ scheduledMs }) => scheduledMs),
        expected,
      )
    })
  }

  it('ends a job of two services with the later one', () => {
    const tasks = [
      { service: 'trace', runMs: 10 },
      { service: 'notice', runMs: 25 },
    ]
    const slots = new Map([
      ['trace', 1],
      ['notice', 1],
    ])
    const [times] = idealSchedule([{ submission: 's', arrivalMs: 3, tasks }], { slots })
    assert.deepEqual([times?.scheduledMs, times?.longestPathMs], [25, 25])
  })

  it('is never below the longest path and, with slots for all, never above it', () => {
    const random = new SeededRandom(11)
    const jobs = Array.from({ length: 200 }, () =>
      job(
        random.between(0, 500),
        ...Array.from({ length: random.integer(1, 9) }, () => random.between(1, 90)),
      ),
    )
    const scarce = idealSchedule(jobs, { slots: new Map([['trace', 20]]) })
    const plenty = idealSchedule(jobs, { slots: new Map([['trace', 2000]]) })
    assert.ok(scarce.every((times) => times.scheduledMs >= times.longestPathMs - 1e-6))
    assert.ok(scarce.some((times) => times.scheduledMs > times.longestPathMs + 1))
    for (const times of plenty) {
      assert.ok(Math.abs(times.scheduledMs - times.longestPathMs) < 1e-6)
    }
  })
})
