import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { JobVerdict } from '@cherryhitch/protocol'
import { DispatchSimulation } from '../soak/DispatchSimulation'

const RUN_MS = 200
/** The lease of 900 ms plus its renewal interval and the allowance for a slow endpoint clock. */
const LEASE_EXPIRED_MS = 1_000

describe('a run on an endpoint that stops answering', () => {
  it('is restarted elsewhere once the lease has expired, despite continued polling', () => {
    const world = new DispatchSimulation({
      leaders: 1,
      endpoints: 2,
      placesEach: 2,
      random: () => 0.5,
      runMs: RUN_MS,
    })
    world.elect(0, 0)
    world.run(1_500)
    const sentAt = world.now
    world.submit('a', 4, { deadlineMs: 2_500, estimateMs: RUN_MS })
    world.run(20)
    world.cut('d0', 'e0', 10_000)
    world.run(2_500)
    assert.deepEqual(world.violations, [])
    assert.equal(world.outcomes.get('a')?.verdict, JobVerdict.COMPLETED)
    const ms = (world.answeredAt.get('a') ?? Infinity) - sentAt
    assert.ok(ms < LEASE_EXPIRED_MS + 2 * RUN_MS, `answered after ${ms} ms`)
  })
})
