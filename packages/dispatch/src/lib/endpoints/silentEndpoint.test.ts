import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { JobVerdict } from '@cherryhitch/protocol'
import { DispatchWorld } from '../soak/DispatchWorld'

const RUN_MS = 200
/** The lease of 900 ms, the pace of its renewal, and what the endpoint's clock may be slow. */
const LEASE_OVER_MS = 1_000

describe('a run on an endpoint that falls silent', () => {
  it('begins anew elsewhere once the lease has run out, though the endpoint is asked on and on', () => {
    const world = new DispatchWorld({
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
    assert.ok(ms < LEASE_OVER_MS + 2 * RUN_MS, `answered after ${ms} ms`)
  })
})
