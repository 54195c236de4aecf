/**
 * Guards the service of a zone that is cut off: what is served, what is refused, and that
 * everything is as before once the cut is over.
 */
import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { JobVerdict } from '@cherryhitch/protocol'
import { seededRandom } from '@cherryhitch/model'
import { DispatchMachine } from '../DispatchMachine'
import { DispatchSimulation } from '../soak/DispatchSimulation'
import { playLoad } from '../soak/playLoad'
import { playZoneCut } from '../soak/playZoneCut'
import { ZoneFault } from '../soak/SimulatedZones'

const CUT_ZONE = 'z1'
const RUN_MS = 1_500

function makeWorld(fault?: ZoneFault): DispatchSimulation {
  const world = new DispatchSimulation({
    leaders: 5,
    endpoints: 9,
    placesEach: 3,
    random: seededRandom(3),
    runMs: RUN_MS,
    zones: { entriesPerZone: 2, areAlone: true, ...(fault !== undefined && { fault }) },
  })
  world.elect(0, 0)
  world.run(3_000)
  return world
}

/**
 * Cuts a zone off for long. An entry loses the zone dispatcher but reaches the other zones, and a
 * job arrives at both entries after the time in which the zone dispatcher's jobs are over.
 */
function separateEntry(fault?: ZoneFault): DispatchSimulation {
  const world = makeWorld(fault)
  const [near = '', far = ''] = world.zones?.entriesOf(CUT_ZONE) ?? []
  world.zones?.cut(CUT_ZONE, 30_000)
  world.run(2_000)
  world.zones?.separate(far, 30_000)
  world.run(12_000)
  world.submit('job', 1, { entry: near })
  world.run(100)
  world.submit('job', 1, { entry: far })
  world.run(8_000)
  return world
}

describe('a zone that is cut off', () => {
  it('is served by its own instances and endpoints, and the others no worse', () => {
    for (const isLeaderCut of [false, true]) {
      const before = playZoneCut({ seed: 1, areAlone: false, isLeaderCut })
      const after = playZoneCut({ seed: 1, areAlone: true, isLeaderCut })
      assert.ok(before.inside < 0.1, `${before.inside} were served before`)
      assert.ok(after.inside > 0.8, `${after.inside} were served`)
      assert.ok(after.outside >= before.outside - 0.01, `${after.outside} were served elsewhere`)
      assert.deepEqual([...before.violations, ...after.violations], [])
    }
  })

  it('changes nothing when the cut is short', () => {
    const { zoneRounds, violations } = playZoneCut({ seed: 2, areAlone: true, cutMs: 400 })
    assert.equal(zoneRounds, 0)
    assert.deepEqual(violations, [])
  })

  it('takes no job twice when a caller sends it to both entries', () => {
    const world = makeWorld()
    const [near = '', far = ''] = world.zones?.entriesOf(CUT_ZONE) ?? []
    world.submit('early', 1, { entry: near, estimateMs: RUN_MS })
    world.run(100)
    world.zones?.cut(CUT_ZONE, 6_000)
    world.run(1_200)
    world.submit('early', 1, { entry: far, estimateMs: RUN_MS })
    world.submit('late', 1, { entry: near, estimateMs: RUN_MS })
    world.submit('late', 1, { entry: far, estimateMs: RUN_MS })
    world.run(4_000)
    assert.equal(world.zones?.total('zone_may_run_elsewhere'), 1)
    assert.equal(world.zones.total('zone_jobs_taken'), 2)
    assert.equal(world.startedTasks.get('late.0.0.0'), 1)
    assert.equal(world.outcomes.get('late')?.verdict, JobVerdict.COMPLETED)
    assert.deepEqual(world.violations, [])
  })

  it('is used by the same leader again after the cut', () => {
    const world = makeWorld()
    world.zones?.cut(CUT_ZONE, 3_000)
    world.run(6_000)
    for (let i = 0; i < 27; i++) world.submit(`j${i}`, 1, { entry: 'z0/e0' })
    world.run(100)
    const busy = world.endpoints.filter(({ running }) => running.size > 0)
    assert.equal(busy.length, world.endpoints.length)
  })

  it('takes no more jobs once an entry of it may have gone back to a leader', () => {
    const world = separateEntry()
    assert.equal(world.zones?.total('zone_rounds'), 1)
    assert.deepEqual(world.violations, [])
  })

  it('detects that it takes jobs however old the joins are', () => {
    const { violations } = separateEntry(ZoneFault.JoinsLastForever)
    assert.match(violations.join(), /beside a zone dispatcher/)
  })
})

describe('a system whose zones may serve alone', () => {
  it('decides as before while there is a leader', () => {
    const options = { load: 0.9, seed: 4, lateOrder: 0.02, takeover: { atMs: 2_000, gapMs: 300 } }
    const before = playLoad(options)
    const after = playLoad({
      ...options,
      makeMachine: (own) => new DispatchMachine({ ...own, hasZoneDispatchers: true }),
    })
    assert.deepEqual(after.jobs, before.jobs)
    assert.deepEqual(after.counted, before.counted)
  })
})
