import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { create } from '@bufbuild/protobuf'
import {
  CancelTasksSchema,
  EndpointAnnouncementSchema,
  FenceState,
  FenceTasksSchema,
  HandOverEndpointsSchema,
  InstanceState,
  Outcome,
  QueueOrder,
  Reason,
  ReleaseSlotsSchema,
} from '@cherryhitch/protocol'
import { RunResultKind, StopState } from '../endpointResults'
import { JOB, makeMember, makePreset, OwnerFixture, SERVICE } from '../fixtures/OwnerFixture'
import { OwnerActionKind } from '../OwnerAction'
import { OwnerEventKind } from '../OwnerEvent'

const SELF = makeMember('o1', { self: true })
/** By the ownership hash, `o1` owns the service alone, and `o0` owns it once `o0` joins. */
const NEXT_OWNER = 'o0'
/** By the ownership hash, `o1` keeps the service when this one joins. */
const OTHER_OWNER = 'o3'

function drain(owner: OwnerFixture): void {
  owner.step({ kind: OwnerEventKind.Drain })
}

/** An owner with one busy slot and one queued task. */
function makeBusyOwner(): OwnerFixture {
  const owner = new OwnerFixture()
  owner.members(SELF)
  owner.heartbeat({ slots: 1 })
  owner.place([0, 1])
  return owner
}

function handOver(owner: OwnerFixture, taskIds: readonly string[], connectionsHeld = 4): void {
  const announcement = create(EndpointAnnouncementSchema, {
    endpoint: 'e1',
    service: SERVICE,
    zone: 'north',
    slots: 2,
    connections: 64,
    boot: 1,
  })
  const value = create(HandOverEndpointsSchema, {
    endpoints: [{ announcement, dispatchedTaskIds: [...taskIds], connectionsHeld }],
  })
  owner.message({ case: 'handOverEndpoints', value }, 'o2')
}

describe('the old owner', () => {
  it('hands over the endpoint, then its queue, and finishes the dispatched tasks', () => {
    const owner = makeBusyOwner()
    owner.actions = []
    owner.members(SELF, makeMember(NEXT_OWNER))
    const [handed] = owner.sent('handOverEndpoints')
    assert.equal(handed?.to, NEXT_OWNER)
    assert.deepEqual(handed.value.endpoints[0]?.dispatchedTaskIds, [`${JOB}.0`])
    const [placed] = owner.sent('placeTasks')
    assert.deepEqual([placed?.to, placed?.value.coordinator], [NEXT_OWNER, 'c1'])
    assert.deepEqual(
      placed?.value.tasks.map(({ index }) => index),
      [1],
    )
    assert.ok(owner.actions.findIndex(isHandOver) < owner.actions.findIndex(isPlacement))
    owner.end(owner.runOf(), RunResultKind.Succeeded)
    assert.equal(owner.reportsOn()[0]?.outcome, Outcome.SUCCEEDED)
    const [released] = owner.sent('releaseSlots')
    assert.deepEqual(released?.value.taskIds, [`${JOB}.0`])
    assert.equal(released.value.connectionsHeld, 0)
    assert.deepEqual(owner.machine.endpoints(owner.now), [])
  })

  it('forwards later messages about the tasks that it forwarded', () => {
    const owner = makeBusyOwner()
    owner.members(SELF, makeMember(NEXT_OWNER))
    owner.place([2])
    const indexes = owner.sent('placeTasks').map(({ value }) => value.tasks[0]?.index)
    assert.deepEqual(indexes, [1, 2])
    owner.place([1])
    assert.equal(owner.machine.counters.duplicatePlacements, 1)
    const fence = create(FenceTasksSchema, { jobId: JOB, indexes: [0, 1] })
    owner.message({ case: 'fenceTasks', value: fence })
    assert.deepEqual(owner.sent('fenceTasks')[0]?.value.indexes, [1])
    const jobs = [{ jobId: JOB, reason: Reason.CANCELLED }]
    owner.message({ case: 'cancelTasks', value: create(CancelTasksSchema, { jobs }) })
    assert.deepEqual(
      owner.sent('cancelTasks').map(({ to }) => to),
      [NEXT_OWNER],
    )
  })

  it('does not hand over a silent endpoint', () => {
    const owner = makeBusyOwner()
    owner.advance(3000)
    owner.members(SELF, makeMember(NEXT_OWNER))
    assert.equal(owner.sent('handOverEndpoints').length, 0)
    assert.equal(owner.machine.summaries(owner.now).length, 0)
  })

  it('resumes ownership of an endpoint when the new owner dies', () => {
    const owner = makeBusyOwner()
    owner.members(SELF, makeMember(NEXT_OWNER))
    owner.members(SELF)
    owner.heartbeat({ slots: 2 })
    owner.place([0, 1], { jobId: 'c1.1.2' })
    assert.deepEqual(
      owner.openRuns.map(({ taskId }) => taskId),
      [`${JOB}.0`, 'c1.1.2.0'],
    )
  })

  it('resolves a lost request without heartbeats of the endpoint', () => {
    const owner = makeBusyOwner()
    owner.members(SELF, makeMember(NEXT_OWNER))
    owner.end(owner.runOf(), RunResultKind.Lost)
    owner.advance(50)
    owner.endRenewal([])
    owner.endStops(StopState.NeverSeen, 1)
    owner.advance(100)
    assert.deepEqual(
      owner.sent('placeTasks').map(({ to, value }) => [to, value.tasks[0]?.index]),
      [[NEXT_OWNER, 1]],
    )
    assert.equal(
      owner.reportsOn()[0]?.outcome,
      Outcome.NOT_RUN,
      'its id is fenced at the only endpoint',
    )
  })
})

describe('the new owner', () => {
  function makeNewOwner(): OwnerFixture {
    const owner = new OwnerFixture()
    owner.members(SELF, makeMember('o2'))
    return owner
  }

  it('uses no slot or connection that the old one still holds', () => {
    const owner = makeNewOwner()
    handOver(owner, ['c1.1.9.0'])
    owner.place([0, 1])
    assert.equal(owner.openRuns.length, 1)
    assert.equal(owner.runOf().maxConnections, 60)
    const taskIds = ['c1.1.9.0']
    const value = create(ReleaseSlotsSchema, { endpoint: 'e1', taskIds, connectionsHeld: 0 })
    owner.message({ case: 'releaseSlots', value }, 'o2')
    assert.equal(owner.openRuns.length, 2)
    assert.equal(owner.runOf(`${JOB}.1`).maxConnections, 64)
  })

  it('frees a slot whose task is neither released nor listed within its lease', () => {
    const owner = makeNewOwner()
    handOver(owner, ['c1.1.9.0', 'c1.1.9.1'])
    owner.place([0])
    owner.advanceWithHeartbeats(2900, { slots: 2 })
    assert.equal(owner.openRuns.length, 0)
    owner.advanceWithHeartbeats(300, { slots: 2 })
    assert.equal(owner.openRuns.length, 1)
  })

  it('keeps a slot held for as long as the endpoint lists its task', () => {
    const owner = makeNewOwner()
    handOver(owner, ['c1.1.9.0', 'c1.1.9.1'])
    owner.place([0])
    const runningTaskIds = ['c1.1.9.0', 'c1.1.9.1']
    owner.advanceWithHeartbeats(5000, { slots: 2, runningTaskIds })
    assert.equal(owner.openRuns.length, 0)
    owner.heartbeat({ slots: 2, runningTaskIds: ['c1.1.9.1'] })
    assert.equal(owner.openRuns.length, 1)
  })

  it('treats the tasks that the endpoint lists as busy slots if the old one is dead', () => {
    const owner = makeNewOwner()
    owner.members(SELF, makeMember('o2', { alive: false }))
    const fence = create(FenceTasksSchema, { jobId: 'c1.1.9', indexes: [0] })
    owner.message({ case: 'fenceTasks', value: fence })
    owner.heartbeat({ slots: 2, runningTaskIds: ['c1.1.9.0'] })
    owner.place([0, 1])
    assert.equal(owner.openRuns.length, 1)
  })

  it('waits for the hand-over by an old one that is alive', () => {
    const owner = new OwnerFixture()
    owner.members(SELF, makeMember(NEXT_OWNER))
    owner.members(SELF, makeMember(NEXT_OWNER, { state: InstanceState.DRAINING }))
    owner.heartbeat()
    owner.place()
    assert.equal(owner.openRuns.length, 0)
    handOver(owner, [])
    assert.equal(owner.openRuns.length, 1)
  })

  it('tells the coordinator that it has the tasks now', () => {
    const owner = makeNewOwner()
    handOver(owner, [])
    owner.place([0], { from: 'o2' })
    const [notice] = owner.sent('fenceReports')
    assert.deepEqual([notice?.to, notice?.value.reports[0]?.state], ['c1', FenceState.IN_PROGRESS])
    assert.equal(owner.openRuns.length, 1)
  })

  it('may forward a task back to the owner that it came from', () => {
    const owner = makeBusyOwner()
    owner.members(SELF, makeMember(NEXT_OWNER))
    owner.members(SELF, makeMember(NEXT_OWNER, { state: InstanceState.DRAINING }))
    owner.heartbeat({ slots: 4 })
    owner.advanceWithHeartbeats(700, { slots: 4 })
    owner.place([1], { from: NEXT_OWNER })
    assert.equal(owner.runOf(`${JOB}.1`).endpoint, 'e1')
  })
})

describe('a forwarded task', () => {
  it('is refused, not forwarded again, if it cannot be queued', () => {
    const owner = makeBusyOwner()
    owner.members(SELF, makeMember(NEXT_OWNER))
    owner.actions = []
    owner.place([7], { from: NEXT_OWNER })
    assert.equal(owner.sent('placeTasks').length, 0)
    assert.equal(owner.reportsOn(7)[0]?.reason, Reason.NO_ENDPOINT)
  })

  it('has its fences and cancellations forwarded at most once', () => {
    const owner = makeBusyOwner()
    owner.members(SELF, makeMember(NEXT_OWNER))
    const value = create(FenceTasksSchema, { jobId: JOB, indexes: [1] })
    owner.message({ case: 'fenceTasks', value }, NEXT_OWNER)
    const jobs = [{ jobId: JOB, reason: Reason.CANCELLED }]
    const cancel = create(CancelTasksSchema, { jobs })
    owner.message({ case: 'cancelTasks', value: cancel }, NEXT_OWNER)
    assert.equal(owner.sent('fenceTasks').length + owner.sent('cancelTasks').length, 0)
  })
})

describe('draining', () => {
  it('hands over endpoints and queues, and completes with the last dispatched task', () => {
    const owner = new OwnerFixture()
    owner.members(SELF, makeMember(OTHER_OWNER))
    owner.heartbeat({ slots: 1 })
    owner.place([0, 1])
    owner.step({ kind: OwnerEventKind.Drain })
    assert.equal(owner.sent('placeTasks')[0]?.to, OTHER_OWNER)
    assert.equal(owner.actionsOf(OwnerActionKind.Drained).length, 0)
    assert.deepEqual(owner.machine.summaries(owner.now), [])
    owner.end(owner.runOf(), RunResultKind.Succeeded)
    assert.equal(owner.actionsOf(OwnerActionKind.Drained).length, 1)
    owner.advance(100)
    assert.equal(owner.actionsOf(OwnerActionKind.Drained).length, 1)
  })

  it('refuses queued tasks as not run if there is no other owner', () => {
    const owner = makeBusyOwner()
    drain(owner)
    assert.equal(owner.reportsOn(1)[0]?.reason, Reason.DRAINING)
    owner.place([5])
    assert.equal(owner.reportsOn(5)[0]?.reason, Reason.DRAINING)
    owner.end(owner.runOf(), RunResultKind.Succeeded)
    assert.equal(owner.actionsOf(OwnerActionKind.RunTask).length, 1)
    assert.equal(owner.actionsOf(OwnerActionKind.Drained).length, 1)
  })
})

describe('a change of preset', () => {
  it('keeps every queued task', () => {
    const owner = makeBusyOwner()
    owner.place([2, 3])
    const preset = makePreset({ queueOrder: QueueOrder.DEADLINE_FAIR, name: 'peak' })
    owner.step({ kind: OwnerEventKind.Preset, preset })
    for (let ended = 0; ended < 4; ended++) {
      const [run] = owner.openRuns
      if (run !== undefined) owner.end(run, RunResultKind.Succeeded)
    }
    assert.equal(owner.machine.counters.succeeded, 4)
  })

  it('moves endpoints if it changes the number of shards', () => {
    const owner = new OwnerFixture()
    owner.members(SELF, makeMember(OTHER_OWNER))
    const endpoints = [...Array(12).keys()].map((n) => `e${n}`)
    for (const endpoint of endpoints) owner.heartbeat({ endpoint })
    owner.step({ kind: OwnerEventKind.Preset, preset: makePreset({ ownerShards: 16 }) })
    const kept = owner.machine.endpoints(owner.now).length
    const moved = owner.sent('handOverEndpoints').flatMap(({ value }) => value.endpoints).length
    assert.deepEqual([kept + moved, kept > 0, moved > 0], [12, true, true])
    assert.equal(owner.sent('handOverEndpoints').length, 1)
  })
})

function isHandOver(action: OwnerFixture['actions'][number]): boolean {
  return action.kind === OwnerActionKind.Send && action.envelope.body.case === 'handOverEndpoints'
}

function isPlacement(action: OwnerFixture['actions'][number]): boolean {
  return action.kind === OwnerActionKind.Send && action.envelope.body.case === 'placeTasks'
}
