import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import fc from 'fast-check'
import { TimerWheel } from './TimerWheel'

describe('timers', () => {
  it('fire in time and exactly once, in whatever order they are scheduled', () => {
    const times = fc.array(fc.integer({ min: 1000, max: 3000 }), { maxLength: 40 })
    const steps = fc.array(fc.integer({ min: 0, max: 400 }), { minLength: 1, maxLength: 20 })
    fc.assert(
      fc.property(times, times, steps, (first, later, moves) => {
        const wheel = new TimerWheel<number>()
        for (const at of first) wheel.schedule(at, at)
        const rest = [...later]
        const taken: number[] = []
        let now = 1000
        for (const move of [...moves, 5000]) {
          const at = rest.pop()
          if (at !== undefined) wheel.schedule(at, at)
          now += move
          const due = wheel.takeDue(now)
          for (const each of due) assert.ok(each <= now, `${each} fired at ${now}`)
          taken.push(...due)
        }
        const set = [...first, ...later.slice(rest.length)]
        assert.deepEqual(taken.sort(), set.sort())
        assert.equal(wheel.size, 0)
      }),
      { seed: 7, numRuns: 300 },
    )
  })

  it('fire even if a later one was scheduled first', () => {
    const wheel = new TimerWheel<string>()
    wheel.schedule(9000, 'late')
    wheel.schedule(100, 'early')
    assert.deepEqual(wheel.takeDue(120), ['early'])
    assert.deepEqual(wheel.takeDue(9010), ['late'])
  })
})
