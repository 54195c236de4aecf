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
/** By the hash, `o1` owns the service alone, and `o0` once that comes. */
const WINNER = 'o0'
/** `o1` owns the service beside this one. */
const LOSER = 'o3'

function drain(owner: OwnerFixture): void {
  owner.step({ kind: OwnerEventKind.Drain })
}

/** An owner with one busy slot and one queued task. */
function busy(): OwnerFixture {
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
  it('hands over the endpoint, then its queue, and finishes what it dispatched', () => {
    const owner = busy()
    owner.actions = []
    owner.members(SELF, makeMember(WINNER))
    const [handed] = owner.sent('handOverEndpoints')
    assert.equal(handed?.to, WINNER)
    assert.deepEqual(handed.value.endpoints[0]?.dispatchedTaskIds, [`${JOB}.0`])
    const [placed] = owner.sent('placeTasks')
    assert.deepEqual([placed?.to, placed?.value.coordinator], [WINNER, 'c1'])
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

  it('passes on what still comes for the tasks it passed on', () => {
    const owner = busy()
    owner.members(SELF, makeMember(WINNER))
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
      [WINNER],
    )
  })

  it('does not pass a silent endpoint off as a fresh one', () => {
    const owner = busy()
    owner.pass(3000)
    owner.members(SELF, makeMember(WINNER))
    assert.equal(owner.sent('handOverEndpoints').length, 0)
    assert.equal(owner.machine.summaries(owner.now).length, 0)
  })

  it('takes an endpoint back when the new owner dies', () => {
    const owner = busy()
    owner.members(SELF, makeMember(WINNER))
    owner.members(SELF)
    owner.heartbeat({ slots: 2 })
    owner.place([0, 1], { jobId: 'c1.1.2' })
    assert.deepEqual(
      owner.openRuns.map(({ taskId }) => taskId),
      [`${JOB}.0`, 'c1.1.2.0'],
    )
  })

  it('clears up a lost request without heartbeats of the endpoint', () => {
    const owner = busy()
    owner.members(SELF, makeMember(WINNER))
    owner.end(owner.runOf(), RunResultKind.Lost)
    owner.pass(50)
    owner.endRenewal([])
    owner.endStops(StopState.NeverSeen, 1)
    owner.pass(100)
    assert.deepEqual(
      owner.sent('placeTasks').map(({ to, value }) => [to, value.tasks[0]?.index]),
      [[WINNER, 1]],
    )
    assert.equal(
      owner.reportsOn()[0]?.outcome,
      Outcome.NOT_RUN,
      'it is fenced at the only endpoint',
    )
  })
})

describe('the new owner', () => {
  function taker(): OwnerFixture {
    const owner = new OwnerFixture()
    owner.members(SELF, makeMember('o2'))
    return owner
  }

  it('starts nothing on slots and connections that the old one uses', () => {
    const owner = taker()
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

  it('frees a slot whose task neither ends nor is listed after its lease', () => {
    const owner = taker()
    handOver(owner, ['c1.1.9.0', 'c1.1.9.1'])
    owner.place([0])
    owner.passWithHeartbeats(2900, { slots: 2 })
    assert.equal(owner.openRuns.length, 0)
    owner.passWithHeartbeats(300, { slots: 2 })
    assert.equal(owner.openRuns.length, 1)
  })

  it('keeps a slot whose task the endpoint lists, until it does not', () => {
    const owner = taker()
    handOver(owner, ['c1.1.9.0', 'c1.1.9.1'])
    owner.place([0])
    const runningTaskIds = ['c1.1.9.0', 'c1.1.9.1']
    owner.passWithHeartbeats(5000, { slots: 2, runningTaskIds })
    assert.equal(owner.openRuns.length, 0)
    owner.heartbeat({ slots: 2, runningTaskIds: ['c1.1.9.1'] })
    assert.equal(owner.openRuns.length, 1)
  })

  it('of a dead one takes what the endpoint lists as busy', () => {
    const owner = taker()
    owner.members(SELF, makeMember('o2', { alive: false }))
    const fence = create(FenceTasksSchema, { jobId: 'c1.1.9', indexes: [0] })
    owner.message({ case: 'fenceTasks', value: fence })
    owner.heartbeat({ slots: 2, runningTaskIds: ['c1.1.9.0'] })
    owner.place([0, 1])
    assert.equal(owner.openRuns.length, 1)
  })

  it('waits for the hand-over by one that lives', () => {
    const owner = new OwnerFixture()
    owner.members(SELF, makeMember(WINNER))
    owner.members(SELF, makeMember(WINNER, { state: InstanceState.DRAINING }))
    owner.heartbeat()
    owner.place()
    assert.equal(owner.openRuns.length, 0)
    handOver(owner, [])
    assert.equal(owner.openRuns.length, 1)
  })

  it('tells the coordinator that it has the tasks now', () => {
    const owner = taker()
    handOver(owner, [])
    owner.place([0], { from: 'o2' })
    const [notice] = owner.sent('fenceReports')
    assert.deepEqual([notice?.to, notice?.value.reports[0]?.state], ['c1', FenceState.IN_PROGRESS])
    assert.equal(owner.openRuns.length, 1)
  })

  it('may give a task back to the one that it came from', () => {
    const owner = busy()
    owner.members(SELF, makeMember(WINNER))
    owner.members(SELF, makeMember(WINNER, { state: InstanceState.DRAINING }))
    owner.heartbeat({ slots: 4 })
    owner.passWithHeartbeats(700, { slots: 4 })
    owner.place([1], { from: WINNER })
    assert.equal(owner.runOf(`${JOB}.1`).endpoint, 'e1')
  })
})

describe('a task that was passed on', () => {
  it('is refused where it can not be queued, not passed on again', () => {
    const owner = busy()
    owner.members(SELF, makeMember(WINNER))
    owner.actions = []
    owner.place([7], { from: WINNER })
    assert.equal(owner.sent('placeTasks').length, 0)
    assert.equal(owner.reportsOn(7)[0]?.reason, Reason.NO_ENDPOINT)
  })

  it('is asked about one owner further at most', () => {
    const owner = busy()
    owner.members(SELF, makeMember(WINNER))
    const value = create(FenceTasksSchema, { jobId: JOB, indexes: [1] })
    owner.message({ case: 'fenceTasks', value }, WINNER)
    const jobs = [{ jobId: JOB, reason: Reason.CANCELLED }]
    const cancel = create(CancelTasksSchema, { jobs })
    owner.message({ case: 'cancelTasks', value: cancel }, WINNER)
    assert.equal(owner.sent('fenceTasks').length + owner.sent('cancelTasks').length, 0)
  })
})

describe('draining', () => {
  it('hands everything over and ends with the last dispatched task', () => {
    const owner = new OwnerFixture()
    owner.members(SELF, makeMember(LOSER))
    owner.heartbeat({ slots: 1 })
    owner.place([0, 1])
    owner.step({ kind: OwnerEventKind.Drain })
    assert.equal(owner.sent('placeTasks')[0]?.to, LOSER)
    assert.equal(owner.all(OwnerActionKind.Drained).length, 0)
    assert.deepEqual(owner.machine.summaries(owner.now), [])
    owner.end(owner.runOf(), RunResultKind.Succeeded)
    assert.equal(owner.all(OwnerActionKind.Drained).length, 1)
    owner.pass(100)
    assert.equal(owner.all(OwnerActionKind.Drained).length, 1)
  })

  it('without another owner refuses what waits as not run', () => {
    const owner = busy()
    drain(owner)
    assert.equal(owner.reportsOn(1)[0]?.reason, Reason.DRAINING)
    owner.place([5])
    assert.equal(owner.reportsOn(5)[0]?.reason, Reason.DRAINING)
    owner.end(owner.runOf(), RunResultKind.Succeeded)
    assert.equal(owner.all(OwnerActionKind.RunTask).length, 1)
    assert.equal(owner.all(OwnerActionKind.Drained).length, 1)
  })
})

describe('another preset', () => {
  it('keeps every queued task', () => {
    const owner = busy()
    owner.place([2, 3])
    const preset = makePreset({ queueOrder: QueueOrder.DEADLINE_FAIR, name: 'peak' })
    owner.step({ kind: OwnerEventKind.Preset, preset })
    for (let ended = 0; ended < 4; ended++) {
      const [run] = owner.openRuns
      if (run !== undefined) owner.end(run, RunResultKind.Succeeded)
    }
    assert.equal(owner.machine.counters.succeeded, 4)
  })

  it('with other shards moves endpoints', () => {
    const owner = new OwnerFixture()
    owner.members(SELF, makeMember(LOSER))
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
