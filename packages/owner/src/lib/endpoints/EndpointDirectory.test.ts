import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { EndpointState, Outcome, Reason } from '@cherryhitch/protocol'
import { RunResultKind } from '../endpointResults'
import { JOB, makeMember, OwnerFixture, SERVICE } from '../fixtures/OwnerFixture'
import { OwnerActionKind } from '../OwnerAction'

const LEAVING = EndpointState.LEAVING

describe('heartbeats', () => {
  it('register an endpoint with its slots', () => {
    const owner = new OwnerFixture()
    assert.deepEqual(owner.machine.summaries(owner.now), [])
    owner.heartbeat()
    const [summary] = owner.machine.summaries(owner.now)
    assert.deepEqual([summary?.service, summary?.slots, summary?.freeSlots], [SERVICE, 8, 8])
    assert.equal(summary?.largest?.cores, 32)
  })

  const bounds = [
    { name: 'slots', endpoint: { slots: 3 }, resources: undefined, runs: 3 },
    { name: 'connections', endpoint: { connections: 6 }, resources: undefined, runs: 4 },
    { name: 'tasks of other owners', endpoint: { runningTaskIds: ['x.1.1.0'] }, runs: 7 },
    { name: 'cores', endpoint: {}, resources: { cores: 12 }, runs: 2 },
    { name: 'memory', endpoint: {}, resources: { memoryMb: 60_000 }, runs: 1 },
    { name: 'accelerators', endpoint: {}, resources: { accelerators: 1 }, runs: 0 },
  ]
  for (const { name, endpoint, resources, runs } of bounds) {
    it(`limit the running tasks of an endpoint by ${name}`, () => {
      const owner = new OwnerFixture()
      owner.heartbeat(endpoint)
      const indexes = [...Array(10).keys()]
      owner.place(indexes, {
        spec: { service: SERVICE, payload: '{}', ...(resources && { resources }) },
      })
      assert.equal(owner.openRuns.length, runs)
    })
  }

  it('that say `leaving` stop dispatch at once, for the rest of that boot', () => {
    const owner = new OwnerFixture()
    owner.heartbeat({ slots: 1 })
    owner.place([0, 1])
    owner.heartbeat({ slots: 1, state: LEAVING })
    owner.end(owner.runOf(), RunResultKind.Succeeded)
    owner.heartbeat({ slots: 1 })
    assert.equal(owner.openRuns.length, 0)
    owner.heartbeat({ slots: 1, boot: 2 })
    assert.equal(owner.openRuns.length, 1)
  })

  it('that stay away for three seconds stop dispatch, even if probes succeed', () => {
    const owner = new OwnerFixture()
    owner.heartbeat()
    owner.advance(1250)
    assert.equal(owner.actionsOf(OwnerActionKind.Probe).length, 1)
    owner.place([0])
    assert.equal(owner.openRuns.length, 0, 'the probe is not answered yet')
    owner.endProbe(true)
    assert.equal(owner.openRuns.length, 1)
    owner.advance(1250)
    owner.endProbe(true)
    owner.advance(600)
    owner.place([1])
    assert.equal(owner.openRuns.length, 1)
    assert.equal(owner.reportsOn(1)[0]?.reason, Reason.NO_ENDPOINT)
  })

  it('do not make an endpoint reachable again after a failed probe', () => {
    const owner = new OwnerFixture()
    owner.heartbeat()
    owner.place([0])
    owner.end(owner.runOf(), RunResultKind.Lost)
    owner.endProbe(false)
    owner.heartbeat()
    owner.place([1])
    assert.equal(owner.openRuns.length, 0)
    owner.advance(50)
    owner.endProbe(true)
    assert.equal(owner.runOf(`${JOB}.1`).endpoint, 'e1')
  })

  it('of an earlier boot are dropped', () => {
    const owner = new OwnerFixture()
    owner.heartbeat({ boot: 5 })
    owner.heartbeat({ boot: 4, state: LEAVING })
    owner.place()
    assert.equal(owner.openRuns.length, 1)
    assert.equal(owner.machine.counters.staleHeartbeats, 1)
  })

  it('of a later boot end the tasks of the old process, after a grace period for their answers', () => {
    const owner = new OwnerFixture()
    owner.heartbeat()
    owner.place([0, 1, 2])
    owner.heartbeat({ boot: 2, runningTaskIds: [`${JOB}.2`] })
    owner.end(owner.runOf(), RunResultKind.Lost)
    assert.deepEqual(
      owner.reportsOn().map(({ outcome }) => outcome),
      [Outcome.UNKNOWN],
    )
    owner.advanceWithHeartbeats(600, { boot: 2, runningTaskIds: [`${JOB}.2`] })
    assert.deepEqual(
      owner.reportsOn(1).map(({ outcome }) => outcome),
      [Outcome.UNKNOWN],
    )
    owner.end(owner.runOf(`${JOB}.2`), RunResultKind.Succeeded)
    assert.deepEqual(
      owner.reportsOn(2).map(({ outcome }) => outcome),
      [Outcome.SUCCEEDED],
    )
  })

  it('of a later boot let a task whose request never arrived be retried', () => {
    const owner = new OwnerFixture()
    owner.heartbeat()
    owner.place()
    owner.heartbeat({ boot: 2, runningTaskIds: [] })
    owner.end(owner.runOf(), RunResultKind.NotRun)
    owner.advanceWithHeartbeats(200, { boot: 2, runningTaskIds: [] })
    assert.equal(owner.openRuns.length, 1)
    assert.equal(owner.reportsOn().length, 0)
  })

  it('that still list a task after its answer do not hold its slot', () => {
    const owner = new OwnerFixture()
    owner.heartbeat({ slots: 1 })
    owner.place([0, 1])
    owner.end(owner.runOf(), RunResultKind.Succeeded)
    owner.heartbeat({ slots: 1, runningTaskIds: [`${JOB}.0`] })
    owner.end(owner.runOf(`${JOB}.1`), RunResultKind.Succeeded)
    assert.equal(owner.machine.endpoints(owner.now)[0]?.freeSlots, 1)
  })
})

describe('heartbeats at an instance that is not the owner', () => {
  function makeNonOwner(): OwnerFixture {
    const owner = new OwnerFixture()
    owner.members(makeMember('o2'), makeMember('o1', { self: true, zone: 'south' }))
    return owner
  }

  it('are forwarded to the owner in the zone of the endpoint', () => {
    const owner = makeNonOwner()
    owner.heartbeat()
    assert.deepEqual(
      owner.sent('forwardHeartbeat').map(({ to }) => to),
      ['o2'],
    )
    assert.equal(owner.machine.ownerOf('e1', SERVICE), 'o2')
    assert.deepEqual(owner.machine.endpoints(owner.now), [])
  })

  it('are forwarded only once, even if two instances disagree about the owner', () => {
    const owner = makeNonOwner()
    owner.heartbeat({}, 'o2')
    owner.heartbeat()
    owner.heartbeat()
    assert.equal(owner.sent('forwardHeartbeat').length, 1)
    owner.heartbeat({ state: LEAVING })
    assert.equal(owner.sent('forwardHeartbeat').length, 2, '`leaving` is forwarded at once')
    assert.equal(owner.machine.counters.droppedHeartbeats, 2)
  })

  it('are dropped if no instance of the zone is known', () => {
    const owner = makeNonOwner()
    owner.heartbeat({ zone: 'east' })
    assert.equal(owner.sent('forwardHeartbeat').length, 0)
  })
})
