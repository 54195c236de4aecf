import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { JobVerdict } from '@cherryhitch/protocol'
import { DispatchSimulation } from '../soak/DispatchSimulation'
import { SIMULATED_ZONES } from '../soak/ZoneDrains'

/** Two endpoints of three slots in each zone, and runs of 120 ms. */
const ENDPOINTS = 2 * SIMULATED_ZONES.length
const SLOTS_PER_ENDPOINT = 3
const RUN_MS = 120
/** Objective of a job: 1.6 times its run time by the learned estimate, plus 60 ms. */
const OBJECTIVE_MS = 1.6 * RUN_MS + 60
const SLOTS = ENDPOINTS * SLOTS_PER_ENDPOINT
const TICK_MS = 10

/** A loaded system, and what its callers got. */
class LoadedSystem {
  readonly world = new DispatchSimulation({
    leaders: 1,
    endpoints: ENDPOINTS,
    placesEach: SLOTS_PER_ENDPOINT,
    random: () => 0.5,
    runMs: RUN_MS,
  })
  readonly #sentAt = new Map<string, number>()

  constructor() {
    this.world.elect(0, 0)
    this.world.run(1_200)
  }

  /** Submits jobs of one task at a share of the rate that all slots can serve. */
  load(share: number, forMs: number): string[] {
    const ids: string[] = []
    const gapMs = RUN_MS / (SLOTS * share)
    for (const end = this.world.now + forMs; this.world.now < end;) {
      const id = `j${this.#sentAt.size}`
      this.#sentAt.set(id, this.world.now)
      this.world.submit(id, 1, { deadlineMs: 1_500 })
      ids.push(id)
      this.world.run(gapMs)
    }
    return ids
  }

  answerMs(id: string): number {
    return (this.world.answeredAt.get(id) ?? Infinity) - (this.#sentAt.get(id) ?? 0)
  }

  verdict(id: string): JobVerdict | undefined {
    return this.world.outcomes.get(id)?.verdict
  }

  countInTime(ids: readonly string[]): number {
    const inTime = ids.filter((id) => {
      return this.verdict(id) === JobVerdict.COMPLETED && this.answerMs(id) <= OBJECTIVE_MS
    })
    return inTime.length / ids.length
  }

  startsIn(zone: string): number {
    const endpoints = this.world.endpoints.filter(({ options }) => options.zone === zone)
    return endpoints.reduce((sum, { running }) => sum + running.size, 0)
  }
}

describe('jobs while a zone is drained', () => {
  it('run in the other zones, without a refusal at half of the load', () => {
    const system = new LoadedSystem()
    const { world } = system
    system.load(0.5, 1_000)
    world.drains.set('z1', true)
    world.run(RUN_MS + 2 * TICK_MS)
    const during = system.load(0.5, 1_500)
    assert.equal(system.startsIn('z1'), 0)
    world.run(1_000)
    assert.ok(system.countInTime(during) > 0.98, `${system.countInTime(during)} in time`)
    assert.deepEqual(world.violations, [])
  })

  it('are refused early beyond what the other zones can serve', () => {
    const system = new LoadedSystem()
    const { world } = system
    system.load(0.9, 1_000)
    world.drains.set('z1', true)
    const during = system.load(0.9, 2_000)
    world.run(1_500)
    const refused = during.filter((id) => system.verdict(id) === JobVerdict.REFUSED)
    assert.ok(refused.length > 0)
    const latest = Math.max(...refused.map((id) => system.answerMs(id)))
    assert.ok(latest <= OBJECTIVE_MS / 2, `a refusal took ${latest} ms`)
    // Two thirds of the slots serve at most 0.74 of this load.
    assert.ok(system.countInTime(during) > 0.6, `${system.countInTime(during)} in time`)
  })

  it('go on there if they had started before, and their callers get the answers', () => {
    const system = new LoadedSystem()
    const { world } = system
    const before = system.load(0.5, 100)
    for (const zone of SIMULATED_ZONES) world.drains.set(zone, true)
    world.run(1_000)
    const verdicts = new Set(before.map((id) => system.verdict(id)))
    assert.deepEqual([...verdicts], [JobVerdict.COMPLETED])
  })

  it('are served there again once it is restored', () => {
    const system = new LoadedSystem()
    const { world } = system
    world.drains.set('z1', true)
    system.load(0.5, 500)
    world.drains.set('z1', false)
    system.load(0.9, 500)
    assert.ok(system.startsIn('z1') > 0)
  })
})

describe('jobs while all zones are drained', () => {
  it('are refused at once with a retry delay, also those that waited already', () => {
    const system = new LoadedSystem()
    const { world } = system
    system.load(0.9, 500)
    const waiting = Array.from({ length: 2 * SLOTS }, () => system.load(1_000, 0.1)).flat()
    for (const zone of SIMULATED_ZONES) world.drains.set(zone, true)
    const drainedAt = world.now
    const arriving = system.load(0.5, 300)
    world.run(1_000)
    for (const id of arriving) {
      assert.equal(system.verdict(id), JobVerdict.REFUSED)
      assert.ok(system.answerMs(id) <= 5 * TICK_MS, `refused after ${system.answerMs(id)} ms`)
      assert.ok((world.outcomes.get(id)?.retryAfterMs ?? 0) >= 1_000)
    }
    const refusedWaiting = waiting.filter((id) => system.verdict(id) === JobVerdict.REFUSED)
    assert.ok(refusedWaiting.length > 0)
    for (const id of refusedWaiting) {
      const answeredAt = world.answeredAt.get(id) ?? Infinity
      assert.ok(answeredAt <= drainedAt + 5 * TICK_MS, `refused ${answeredAt - drainedAt} ms later`)
    }
  })
})
