import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { ZoneFault } from './SimulatedZones'
import { runZoneSoak } from './runZoneSoak'
import type { ZoneSoakOptions } from './runZoneSoak'

const STEPS = 200
/**
 * Faults, with seeds of which at least one shows each. That of `JoinsLastForever` needs a longer cut
 * than is drawn here.
 */
const FAULTS: readonly (readonly [ZoneFault, readonly number[]])[] = [
  [ZoneFault.NoLists, [9, 22, 25]],
  [ZoneFault.OneEntryJoins, [100, 136]],
  [ZoneFault.NoListAtEnd, [22, 49, 63]],
  [ZoneFault.ReturnsAtOnce, [3, 8, 9]],
  [ZoneFault.ForgetsRestart, [2, 32, 38]],
  [ZoneFault.RenewsOtherRuns, [4, 38, 40]],
  [ZoneFault.ResendsToOther, [4, 23, 27]],
]

describe('randomised simulation of zones that are cut off and serve alone', () => {
  for (let seed = 1; seed <= 12; seed++) {
    it(`violates no invariant with seed ${seed}`, () => {
      const report = runZoneSoak(seed, STEPS, { hasRestarts: seed % 2 === 0 })
      assert.deepEqual(report.violations, [])
      assert.ok(report.completed > report.submitted / 3, `${report.completed} were completed`)
    })
  }

  it('lets no two leaders run a task when its caller sends it again after a change of leaders', () => {
    const { violations } = runZoneSoak(29, STEPS, { hasRestarts: true, areAlone: false })
    assert.deepEqual(violations, [])
  })

  it('serves jobs of zones that are cut off', () => {
    const reports = [21, 22, 23, 24].map((seed) => runZoneSoak(seed, STEPS))
    assert.ok(reports.some(({ zoneJobsTaken }) => zoneJobsTaken > 0))
    assert.ok(reports.some(({ mayRunElsewhere }) => mayRunElsewhere > 0))
  })

  for (const seed of [5, 7, 26, 46]) {
    it(`lets no zone dispatcher double a run of hasty callers, with seed ${seed}`, () => {
      const options = { hasRestarts: true, areCallersHasty: true }
      const { violations } = runZoneSoak(seed, STEPS, options)
      assert.deepEqual(violations, [])
    })
  }

  for (const seed of [10, 12, 37, 45, 54]) {
    it(`lets no two leaders run a task that a hasty caller submits at another entry, with seed ${seed}`, () => {
      const options = { hasRestarts: true, areCallersHasty: true, areAlone: false }
      const { violations } = runZoneSoak(seed, STEPS, options)
      assert.deepEqual(violations, [])
    })
  }

  for (const seed of [7, 16, 24, 25, 51, 92]) {
    it(`doubles and refuses no running job whose caller has lost its entry, with seed ${seed}`, () => {
      const callers = { callersRoam: true, losesEntries: true }
      const { violations } = runZoneSoak(seed, STEPS, {
        ...callers,
        hasRestarts: true,
        areAlone: false,
      })
      assert.deepEqual(violations, [])
    })
  }

  for (const [fault, seeds] of FAULTS) {
    it(`detects the fault ${fault}`, () => {
      const options = { hasRestarts: true, areCallersHasty: true }
      const play = (more: ZoneSoakOptions): readonly string[] => {
        return seeds.flatMap((seed) => runZoneSoak(seed, STEPS, { ...options, ...more }).violations)
      }
      assert.match(play({ fault }).join(), /beside a zone dispatcher/)
      assert.deepEqual(play({}), [])
    })
  }

  it('detects that a caller reaches both sides of a cut', () => {
    const options = { hasRestarts: true, areCallersHasty: true, callersRoam: true }
    const all = [1, 2, 3, 4, 5, 6].flatMap((seed) => runZoneSoak(seed, STEPS, options).violations)
    assert.match(all.join(), /beside a zone dispatcher/)
  })
})
