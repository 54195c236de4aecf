/**
 * Guards against a task that runs twice at the same time: its caller has lost its entry and submits
 * the job again at another one, while the zone with the first run and the leader is cut off.
 */
import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { seededRandom } from '@cherryhitch/model'
import { JobVerdict } from '@cherryhitch/protocol'
import { DispatchSimulation } from '../soak/DispatchSimulation'

const CUT_ZONE = 'z0'
const RUN_MS = 2_500
const RESUBMIT_DELAY_MS = 1_300
/** Time from the cut until another instance leads, in milliseconds. */
const ELECTION_MS = 350
const JOBS = ['a', 'b', 'c', 'd', 'e', 'f']

interface Scenario {
  /** Zone of the entry that is lost. */
  readonly entryZone: string
  /** Time from the loss of the entry to the cut, in milliseconds. */
  readonly cutAfterMs: number
  /** What the dispatchers know of the callers' delay. */
  readonly resubmitDelayMs: number
}

/** Plays the loss of an entry, the cut and the jobs that are submitted again, to the end. */
function play({ entryZone, cutAfterMs, resubmitDelayMs }: Scenario): DispatchSimulation {
  const world = new DispatchSimulation({
    leaders: 3,
    endpoints: 12,
    placesEach: 1,
    random: seededRandom(1),
    runMs: RUN_MS,
    resubmitDelayMs,
    zones: { entriesPerZone: 2, areAlone: false },
  })
  world.elect(0, 0)
  world.run(3_000)
  const entriesOf = (zone: string): readonly string[] => world.zones?.entriesOf(zone) ?? []
  const [lost = ''] = entriesOf(entryZone)
  const options = { estimateMs: RUN_MS, deadlineMs: 6_000 }
  for (const id of JOBS) world.submit(id, 1, { ...options, entry: lost })
  world.run(120)
  assert.equal(world.startedTasks.size, JOBS.length)
  world.zones?.restartEntry(lost, 20_000)
  world.after(cutAfterMs, () => {
    world.zones?.cut(CUT_ZONE, 5_000)
    world.after(ELECTION_MS, () => {
      world.elect(1, 500)
    })
  })
  const others = world.zones?.entries.filter((entry) => {
    return entry !== lost && !entriesOf(CUT_ZONE).includes(entry)
  })
  world.run(RESUBMIT_DELAY_MS)
  for (const [n, id] of JOBS.entries()) {
    world.submit(id, 1, { ...options, entry: others?.[n % others.length] ?? '' })
  }
  world.run(8_000)
  return world
}

const CUT_TIMES_MS = Array.from({ length: 27 }, (_, n) => n * 50)

describe('a job whose caller submits it again at another entry', () => {
  for (const entryZone of ['z0', 'z1']) {
    for (const resubmitDelayMs of [0, RESUBMIT_DELAY_MS]) {
      it(`runs once at a time, with an entry lost in ${entryZone} and a delay of ${resubmitDelayMs} ms`, () => {
        for (const cutAfterMs of CUT_TIMES_MS) {
          const { violations } = play({ entryZone, cutAfterMs, resubmitDelayMs })
          assert.deepEqual(violations, [], `cut ${cutAfterMs} ms after the loss`)
        }
      })
    }
  }

  it('is completed, once the earlier run has ended', () => {
    const world = play({ entryZone: 'z0', cutAfterMs: 450, resubmitDelayMs: RESUBMIT_DELAY_MS })
    const verdicts = JOBS.map((id) => world.outcomes.get(id)?.verdict)
    assert.deepEqual(
      verdicts,
      JOBS.map(() => JobVerdict.COMPLETED),
    )
    assert.ok([...world.startedTasks.values()].some((starts) => starts > 1))
  })
})
