import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { ZoneFault } from './SimulatedZones'
import { runZoneSoak } from './runZoneSoak'

const STEPS = 200
/** A violation of the leaders' own protocol, which callers hastier than the platform's can cause. */
const UNDER_TWO_LEADERS = ' under two leaders'

/** A seed at which each fault shows. */
const seedOf: Readonly<Record<ZoneFault, number>> = {
  [ZoneFault.NoLists]: 6,
  [ZoneFault.OneEntryJoins]: 26,
  [ZoneFault.JoinsLastForever]: 0,
  [ZoneFault.NoListAtEnd]: 5,
  [ZoneFault.ReturnsAtOnce]: 4,
  [ZoneFault.ForgetsRestart]: 10,
  [ZoneFault.RenewsOtherRuns]: 5,
  [ZoneFault.ResendsToOther]: 3,
}

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

  for (const seed of [7, 26, 46]) {
    it(`lets no zone dispatcher double a run of hasty callers, with seed ${seed}`, () => {
      const options = { hasRestarts: true, areCallersHasty: true }
      const { violations } = runZoneSoak(seed, STEPS, options)
      assert.deepEqual(
        violations.filter((one) => !one.endsWith(UNDER_TWO_LEADERS)),
        [],
      )
    })
  }

  for (const fault of Object.values(ZoneFault)) {
    // Its cut has to last longer than those drawn here: see separatedEntry.test.ts.
    if (fault === ZoneFault.JoinsLastForever) continue
    it(`detects the fault ${fault}`, () => {
      const options = { hasRestarts: true, areCallersHasty: true }
      const { violations } = runZoneSoak(seedOf[fault], STEPS, { ...options, fault })
      assert.match(violations.join(), /beside a zone dispatcher/)
      const sound = runZoneSoak(seedOf[fault], STEPS, options).violations
      assert.deepEqual(
        sound.filter((one) => !one.endsWith(UNDER_TWO_LEADERS)),
        [],
      )
    })
  }

  it('detects that a caller reaches both sides of a cut', () => {
    const options = { hasRestarts: true, areCallersHasty: true, callersRoam: true }
    const all = [1, 2, 3, 4, 5, 6].flatMap((seed) => runZoneSoak(seed, STEPS, options).violations)
    assert.match(all.join(), /beside a zone dispatcher/)
  })
})
