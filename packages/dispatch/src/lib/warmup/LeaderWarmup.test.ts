import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { Mechanism } from '@cherryhitch/model'
import { LeaderWarmup } from './LeaderWarmup'

describe('the leader warm-up', () => {
  it('ends, and completes most of its jobs', () => {
    const warmup = new LeaderWarmup()
    let steps = 0
    while (!warmup.isDone) {
      warmup.step()
      steps++
    }
    assert.ok(steps > 100)
    const { jobs_completed } = warmup.counters
    assert.ok(jobs_completed > 2 * steps, `${jobs_completed} jobs in ${steps} steps`)
  })

  it('does not run the code of disabled mechanisms in place of that which replaces it', () => {
    const slotsForecast = (without: readonly Mechanism[]): number => {
      const warmup = new LeaderWarmup({ without })
      while (!warmup.isDone) warmup.step()
      return warmup.counters.places_forecast
    }
    assert.ok(slotsForecast([]) > 0)
    assert.equal(slotsForecast([Mechanism.Admission]), 0)
  })
})
