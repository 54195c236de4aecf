/**
 * Guards against running a task on two endpoints at the same time, 0.5 s after an availability zone
 * is partitioned from the others.
 *
 * The leader, in the partitioned zone, has a run on an endpoint of another zone and gets no answers
 * from there. The next leader is elected in that other zone, finds the run and renews its lease.
 * The old leader has not yet noticed that it lost its majority; it sees the lease that it granted
 * expire, takes the run for lost and starts the task on an endpoint of its own zone, under the
 * older fencing token. The second run then starts before the first one ends.
 *
 * An expired lease proves that nothing runs only while no other leader can have renewed it.
 */
import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { DispatchSimulation } from '../soak/DispatchSimulation'

const RUN_MS = 2_000

/**
 * Starts a run on one of two endpoints, then partitions the network: the leader reaches neither
 * that endpoint nor the majority, and the majority does not reach the other endpoint.
 */
function partitionLeader(cutAfterMs: number): DispatchSimulation {
  const world = new DispatchSimulation({
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

describe('a leader that is partitioned from a run and from the majority', () => {
  it('does not restart the task while the next leader may renew the lease of the run', () => {
    for (let cutAfterMs = 20; cutAfterMs <= 600; cutAfterMs += 20) {
      const world = partitionLeader(cutAfterMs)
      world.run(3_500)
      assert.deepEqual(world.violations, [], `cut after ${cutAfterMs} ms`)
    }
  })

  it('restarts it when only the endpoint is unreachable and its lease has expired', () => {
    const world = new DispatchSimulation({
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
