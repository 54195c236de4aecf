import { seededRandom } from '@cherryhitch/model'
import { JobVerdict } from '@cherryhitch/protocol'
import { DispatchSimulation } from './DispatchSimulation'
import { SIMULATED_ZONES } from './ZoneDrains'

/** @internal */
export interface ZoneCutOptions {
  readonly seed: number
  /** Whether zones that are cut off serve alone. */
  readonly areAlone: boolean
  /** Whether the leader is in the zone that is cut off. */
  readonly isLeaderCut?: boolean
  readonly cutMs?: number
  /** Jobs a second in each zone. */
  readonly jobsPerS?: number
}

/** Shares of the jobs that arrived during a cut and were completed. @internal */
export interface ZoneCutReport {
  readonly inside: number
  readonly outside: number
  /** The same, for the seconds after the cut. */
  readonly insideAfter: number
  readonly outsideAfter: number
  readonly zoneRounds: number
  readonly violations: readonly string[]
}

const INSTANCES = 5
const CUT_AT_MS = 4_000
const AFTER_MS = 4_000
const DEADLINE_MS = 1_500
/** Time until the other zones have the next leader, where the leader was cut off. */
const ELECTION_MS = 500

/** Cuts one of three zones off for some time, under steady load, with no other fault. @internal */
export function playZoneCut(options: ZoneCutOptions): ZoneCutReport {
  const { seed, areAlone, isLeaderCut = false, cutMs = 5_400, jobsPerS = 15 } = options
  const random = seededRandom(seed)
  const world = new DispatchSimulation({
    leaders: INSTANCES,
    endpoints: 9,
    placesEach: 3,
    random,
    runMs: () => 20 + random() * 200,
    zones: { entriesPerZone: 2, areAlone },
  })
  world.elect(0, 0)
  const [first = '', second = ''] = SIMULATED_ZONES
  const cut = isLeaderCut ? first : second
  const arrivedAt = new Map<string, { readonly at: number; readonly zone: string }>()
  world.after(CUT_AT_MS, () => {
    world.zones?.cut(cut, cutMs)
    if (isLeaderCut) {
      world.after(ELECTION_MS, () => {
        world.elect(2, ELECTION_MS)
      })
    }
  })
  const endMs = CUT_AT_MS + cutMs + AFTER_MS
  for (const zone of SIMULATED_ZONES) {
    for (let at = 0; at < endMs; at += 1_000 / jobsPerS) {
      const id = `${zone}x${Math.round(at)}`
      const entries = world.zones?.entriesOf(zone) ?? []
      const entry = entries[Math.floor(random() * entries.length)] ?? ''
      arrivedAt.set(id, { at, zone })
      world.after(at, () => {
        world.submit(id, 1 + Math.floor(random() * 2), { deadlineMs: DEADLINE_MS, entry })
      })
    }
  }
  world.run(endMs + 2 * DEADLINE_MS)
  const share = (isInside: boolean, from: number, to: number): number => {
    const jobs = [...arrivedAt].filter(([, { at, zone }]) => {
      return at >= from && at < to && (zone === cut) === isInside
    })
    const done = jobs.filter(([id]) => world.outcomes.get(id)?.verdict === JobVerdict.COMPLETED)
    return done.length / jobs.length
  }
  const endOfCut = CUT_AT_MS + cutMs
  return {
    inside: share(true, CUT_AT_MS, endOfCut),
    outside: share(false, CUT_AT_MS, endOfCut),
    insideAfter: share(true, endOfCut, endMs),
    outsideAfter: share(false, endOfCut, endMs),
    zoneRounds: world.zones?.total('zone_rounds') ?? 0,
    violations: world.violations,
  }
}
