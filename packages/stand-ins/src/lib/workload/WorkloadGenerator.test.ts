import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { WorkloadGenerator } from './WorkloadGenerator'
import type { WorkloadOptions } from './WorkloadOptions'

const SLOTS = 264

function generate(input: Partial<WorkloadOptions> = {}) {
  return new WorkloadGenerator({ runId: 'r1', slots: SLOTS, ...input }).generate()
}

describe('a generated load', () => {
  it('is the same for the same seed, and another for another', () => {
    assert.deepEqual(generate(), generate())
    assert.notDeepEqual(generate({ seed: 2 }), generate())
  })

  for (const busyShare of [0.3, 0.9]) {
    it(`offers work for ${busyShare} of the slots`, () => {
      const durationMs = 600_000
      const jobs = generate({ busyShare, durationMs })
      const workMs = jobs.flatMap((job) => job.tasks).reduce((sum, task) => sum + task.runMs, 0)
      const offered = workMs / (SLOTS * durationMs)
      assert.ok(Math.abs(offered / busyShare - 1) < 0.05, `offered ${offered}`)
    })
  }

  it('keeps its names apart from those of another run', () => {
    const names = (runId: string): string[] =>
      generate({ runId }).flatMap((job) => [job.submission, ...job.tasks.map((t) => t.token)])
    const all = [...names('r1'), ...names('r2')]
    assert.equal(new Set(all).size, all.length)
  })

  it('declares run times that are off by up to ten times, either way', () => {
    const ratios = generate()
      .flatMap((job) => job.tasks)
      .flatMap(({ expectedRunMs, runMs }) =>
        expectedRunMs === undefined ? [] : [expectedRunMs / runMs],
      )
    assert.ok(ratios.every((ratio) => ratio > 0.09 && ratio < 10.1))
    assert.ok(ratios.some((ratio) => ratio < 0.2) && ratios.some((ratio) => ratio > 5))
  })

  it('gives every non-idempotent job a key', () => {
    const jobs = generate().filter((job) => !job.idempotent)
    assert.ok(jobs.length > 0)
    assert.ok(jobs.every((job) => job.key !== ''))
  })

  it('bursts', () => {
    const burst = { everyMs: 5000, lengthMs: 1000, factor: 4 }
    const jobs = generate({ durationMs: 60_000, burst })
    const inBurst = jobs.filter(({ arrivalMs: at }) => at >= 5000 && at % 5000 < 1000).length
    const perSecondInside = inBurst / 11
    const perSecondOutside = (jobs.length - inBurst) / 49
    const factor = perSecondInside / perSecondOutside
    assert.ok(factor > 3 && factor < 5, `factor ${factor}`)
  })

  it('cancels in waves', () => {
    const cancelWaves = { everyMs: 2000, share: 0.5, reachMs: 400 }
    const cancelled = generate({ cancelWaves }).filter((job) => job.cancelAfterMs !== undefined)
    assert.ok(cancelled.length > 0)
    for (const { arrivalMs, cancelAfterMs = 0 } of cancelled) {
      const waves = (arrivalMs + cancelAfterMs) / 2000
      assert.ok(Math.abs(waves - Math.round(waves)) < 1e-6)
    }
  })

  it('has jobs that fit no worker when asked', () => {
    const jobs = generate({ neverFitsShare: 1 })
    assert.ok(jobs.every((job) => (job.tasks[0]?.cores ?? 0) > 1000))
  })
})
