/**
 * What users saw: a task ran on two endpoints at the same time, 0.5 s after an availability zone had
 * been cut off.
 *
 * Order of events: the leader, in the cut-off zone, had a run on an endpoint of another zone, and
 * got no word of it any more. The next leader was elected there, found the run and renewed its
 * lease. The old leader, which had not yet noticed that no majority follows it, saw the lease that it
 * had given itself run out, took the run for lost and started the task on an endpoint of its own zone.
 *
 * Cause: a lease that has run out proves that nothing runs only as long as nobody else may have
 * renewed it. Evidence: the endpoint's own end of the first run lies after the start of the second, and
 * the second carries the older fencing token.
 */
import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { DispatchWorld } from '../soak/DispatchWorld'

const RUN_MS = 2_000

/**
 * A run on one of two endpoints. The leader is cut off from that one and from the majority, and the
 * other side from the other endpoint.
 */
function cutOffLeader(cutAfterMs: number): DispatchWorld {
  const world = new DispatchWorld({
    leaders: 2,
    endpoints: 2,
    placesEach: 1,
    random: () => 0.5,
    runMs: RUN_MS,
  })
  world.elect(0, 0)
  world.run(1_200)
  world.submit('job', 1, { deadlineMs: 4_000, estimateMs: RUN_MS })
  world.run(cutAfterMs)
  for (const { options, running } of world.endpoints) {
    world.cut(running.size > 0 ? 'd0' : 'd1', options.id, 5_000)
  }
  world.elect(1, 2_000)
  return world
}

describe('a leader that is cut off from a run and from the majority', () => {
  it('does not start the task again while the next leader may keep the run', () => {
    for (let cutAfterMs = 20; cutAfterMs <= 600; cutAfterMs += 20) {
      const world = cutOffLeader(cutAfterMs)
      world.run(3_500)
      assert.deepEqual(world.violations, [], `cut after ${cutAfterMs} ms`)
    }
  })

  it('starts it again when the endpoint alone is out of reach and its lease has run out', () => {
    const world = new DispatchWorld({
      leaders: 1,
      endpoints: 2,
      placesEach: 1,
      random: () => 0.5,
      runMs: 300,
    })
    world.elect(0, 0)
    world.run(1_200)
    world.submit('job', 1, { deadlineMs: 4_000, estimateMs: 300 })
    world.run(20)
    const [busy] = world.endpoints.filter(({ running }) => running.size > 0)
    assert.ok(busy !== undefined)
    world.cut('d0', busy.options.id, 5_000)
    world.run(2_500)
    assert.deepEqual(world.violations, [])
    assert.equal(world.startedTasks.get('job.0.0.0'), 2)
  })
})
