import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { Mechanism } from '@cherryhitch/model'
import { makeEndpointCapacity } from '@cherryhitch/protocol'
import fc from 'fast-check'
import { playLoad } from '../soak/playLoad'
import type { LoadOptions, LoadOutcome } from '../soak/playLoad'
import { FasterSlots, SpeedDecision } from './FasterSlots'
import { longestOfTasks } from './longestOfTasks'
import { SlotForecast, addFreeSlots, makeFreeSlotsByMs } from './SlotForecast'
import type { SlotClass } from './SlotForecast'

const SPEEDS = [0.6, 1, 1.6]
const SEEDS = [1, 2, 3]

function meanOf(
  options: Omit<LoadOptions, 'seed'>,
  of: (outcome: LoadOutcome) => number,
): readonly [number, number] {
  const mean = (without: readonly Mechanism[]): number => {
    const outcomes = SEEDS.map((seed) => playLoad({ ...options, seed, without, playMs: 4_000 }))
    for (const { violations } of outcomes) assert.deepEqual(violations, [])
    return outcomes.reduce((sum, outcome) => sum + of(outcome), 0) / SEEDS.length
  }
  return [mean([]), mean([Mechanism.UnevenEndpoints])]
}

function slots(slowness: number, freeAt: readonly number[]): SlotClass {
  const freeByMs = makeFreeSlotsByMs()
  for (const ms of freeAt) addFreeSlots(freeByMs, ms, 1)
  return { freeByMs, slowness }
}

describe('jobs at endpoints of speeds 0.6, 1 and 1.6', () => {
  it('are late less often at 0.6 of the slots, where fast endpoints are taken by short work', () => {
    const [late, lateWithout] = meanOf({ load: 0.6, speeds: SPEEDS }, (one) => one.late)
    assert.ok(late < lateWithout / 2, `${late} late, ${lateWithout} without`)
  })

  it('are promised only what slow slots keep, at 1.2 of the slots', () => {
    const options = { load: 1.2, speeds: SPEEDS }
    const [inTime, inTimeWithout] = meanOf(options, (one) => one.inTime)
    assert.ok(inTime > inTimeWithout + 0.1, `${inTime} in time, ${inTimeWithout} without`)
  })
})

describe('jobs at endpoints that differ little', () => {
  for (const speeds of [[1], [0.8, 1, 1.25]]) {
    it(`of speeds ${speeds.join(', ')} have the same outcomes one by one`, () => {
      for (const [load, warmUpMs] of [
        [0.5, 0],
        [1.2, 1_000],
      ] as const) {
        const play = (without: readonly Mechanism[]): LoadOutcome => {
          return playLoad({ load, speeds, seed: 4, playMs: 2_000, warmUpMs, without })
        }
        assert.deepEqual(play([]), play([Mechanism.UnevenEndpoints]))
      }
    })
  }
})

describe('the slot forecast with slots of several speeds', () => {
  it('takes the slowest slot that is in time, and else the one that ends first', () => {
    const forecast = new SlotForecast()
    forecast.reset([slots(0.6, [50]), slots(1, [20]), slots(2, [0])])
    assert.equal(forecast.take(100, 100), 100)
    assert.equal(forecast.take(100, 15), 10)
    assert.equal(forecast.take(100, 0), 20)
  })

  it('forecasts for slots of average speed in two classes what it does for one class', () => {
    const frees = fc.array(fc.integer({ min: 0, max: 500 }), { minLength: 1, maxLength: 30 })
    const runs = fc.array(fc.integer({ min: 1, max: 300 }), { maxLength: 60 })
    fc.assert(
      fc.property(frees, frees, runs, (some, others, runMs) => {
        const one = new SlotForecast()
        one.reset([slots(1, [...some, ...others])])
        const two = new SlotForecast()
        two.reset([slots(1, some), slots(1, others)])
        for (const ms of runMs) assert.equal(two.take(ms, -Infinity), one.take(ms))
      }),
    )
  })
})

describe('a task that needs a faster endpoint than the free ones', () => {
  const needs = makeEndpointCapacity(1_000, 64, 0)
  const need = { maxSlowness: 1.2, easySlowness: 1 }

  it('waits for a faster slot only if it ends earlier there, and not for that of another', () => {
    const round = new FasterSlots(() => [slots(0.6, [60])])
    assert.equal(round.decide(need, 100, needs, 1.7), SpeedDecision.Wait)
    assert.equal(round.decideUnseen(need, 100, needs), SpeedDecision.Defer)
  })

  it('starts at an endpoint where it is in time when no faster one becomes free soon', () => {
    const round = new FasterSlots(() => [slots(0.6, [300])])
    assert.equal(round.decide(need, 100, needs, 1.1), SpeedDecision.Start)
  })

  it('does not hold back a smaller task, which may fit at a faster endpoint', () => {
    const round = new FasterSlots(() => [slots(0.6, [30])])
    round.decide(need, 100, needs, 1.7)
    const smaller = makeEndpointCapacity(500, 64, 0)
    assert.equal(round.decideUnseen(need, 100, smaller), undefined)
  })
})

describe('the longest of several tasks', () => {
  it('takes as long as one task for a single one, and by a fifth longer for eight', () => {
    assert.equal(longestOfTasks(1), 1)
    assert.ok(Math.abs(longestOfTasks(8) - 1.24) < 0.02)
  })
})
