import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { Outcome, Reason } from '@cherryhitch/protocol'
import { RunResultKind, StopState } from '../endpointResults'
import { JOB, OwnerFixture } from '../fixtures/OwnerFixture'
import { OwnerActionKind } from '../OwnerAction'

function ownerWithRunningTasks(tasks = [0], deadlineInMs = 30_000): OwnerFixture {
  const owner = new OwnerFixture()
  owner.heartbeat()
  owner.place(tasks, { deadlineInMs })
  return owner
}

describe('leases', () => {
  it('need no renewal for short tasks', () => {
    const owner = ownerWithRunningTasks([0, 1])
    owner.advanceWithHeartbeats(1400, {})
    owner.end(owner.runOf(), RunResultKind.Succeeded)
    owner.end(owner.runOf(`${JOB}.1`), RunResultKind.Succeeded)
    owner.advanceWithHeartbeats(3000, {})
    assert.equal(owner.machine.counters.renewMessages, 0)
  })

  it('of long tasks are renewed in one message per endpoint', () => {
    const owner = ownerWithRunningTasks([0, 1, 2])
    owner.advanceWithHeartbeats(700, {})
    owner.place([0], { jobId: 'c1.1.2' })
    owner.advanceWithHeartbeats(900, {})
    const [renewal, ...more] = owner.actionsOf(OwnerActionKind.RenewLeases)
    assert.equal(more.length, 0)
    const young = renewal?.taskIds.filter((taskId) => !taskId.startsWith(JOB))
    assert.deepEqual([renewal?.taskIds.length, young], [3, []])
  })

  it('are renewed for as long as the endpoint knows the task', () => {
    const owner = ownerWithRunningTasks()
    for (let i = 0; i < 10; i++) {
      owner.actions = []
      owner.advanceWithHeartbeats(1600, {})
      owner.endRenewal([`${JOB}.0`])
    }
    assert.equal(owner.reportsOn().length, 0)
    assert.equal(owner.openRuns.length, 1)
    assert.ok(owner.machine.counters.renewMessages <= 12)
  })

  it('reveal a dead connection, so that a request that never arrived is retried elsewhere', () => {
    const owner = ownerWithRunningTasks()
    owner.heartbeat({ endpoint: 'e2' })
    const silent = owner.runOf()
    owner.advanceWithHeartbeats(1600, {}, { endpoint: 'e2' })
    owner.endRenewal([])
    assert.equal(
      owner.actionsOf(OwnerActionKind.StopTasks).length,
      0,
      'the answer may be in flight',
    )
    owner.advanceWithHeartbeats(250, {}, { endpoint: 'e2' })
    owner.endStops(StopState.NeverSeen, 1)
    owner.advanceWithHeartbeats(100, {}, { endpoint: 'e2' })
    assert.equal(owner.runOf().endpoint, 'e2')
    assert.equal(owner.lastAction(OwnerActionKind.DropRun).run, silent.run)
  })

  it('are renewed early when a heartbeat does not list a task', () => {
    const owner = ownerWithRunningTasks([0, 1])
    owner.heartbeat({ endpoint: 'e2' })
    const missing = owner.openRuns.find((run) => run.endpoint === 'e1')
    const others = owner.openRuns.filter((run) => run !== missing)
    const runningTaskIds = others.map((run) => run.taskId)
    owner.advance(400)
    owner.heartbeat({ runningTaskIds })
    owner.advance(150)
    assert.equal(
      owner.actionsOf(OwnerActionKind.RenewLeases).length,
      0,
      'its answer may be in flight',
    )
    owner.advance(100)
    assert.deepEqual(owner.lastAction(OwnerActionKind.RenewLeases).taskIds, [missing?.taskId])
    owner.endRenewal([])
    owner.endStops(StopState.Ended, 1)
    assert.equal(owner.runOf(missing?.taskId).join, true)
    assert.equal(owner.actionsOf(OwnerActionKind.CloseIdle).length, 1)
  })

  it('that are renewed take precedence over heartbeat lists', () => {
    const owner = ownerWithRunningTasks()
    owner.advance(400)
    owner.heartbeat({ runningTaskIds: [] })
    owner.advance(250)
    owner.endRenewal([`${JOB}.0`])
    owner.advanceWithHeartbeats(1200, { runningTaskIds: [] })
    assert.equal(owner.machine.counters.renewMessages, 1)
  })

  it('are not renewed again once the answer arrived', () => {
    const owner = ownerWithRunningTasks()
    owner.advanceWithHeartbeats(1600, {})
    owner.endRenewal([])
    owner.end(owner.runOf(), RunResultKind.Succeeded)
    owner.advanceWithHeartbeats(1000, {})
    assert.equal(owner.machine.counters.stopMessages, 0)
    assert.equal(owner.reportsOn()[0]?.outcome, Outcome.SUCCEEDED)
  })

  it('free the slot of a lost task only when they expire', () => {
    const owner = new OwnerFixture()
    owner.heartbeat({ slots: 1 })
    owner.place([0, 1])
    owner.end(owner.runOf(), RunResultKind.Lost)
    owner.endProbe(true)
    owner.advance(50)
    owner.endRenewal(undefined)
    owner.endProbe(true)
    for (let passed = 0; passed < 2900; passed += 100) {
      owner.advanceWithHeartbeats(100, { slots: 1 })
      if (owner.actionsOf(OwnerActionKind.RenewLeases).length > 1) owner.endRenewal(undefined)
    }
    assert.equal(owner.openRuns.length, 0)
  })
})

describe('a deadline', () => {
  it('ends a queued task as not run, at once', () => {
    const owner = new OwnerFixture()
    owner.heartbeat({ slots: 1 })
    owner.place([0, 1], { deadlineInMs: 400 })
    owner.advance(450)
    const [report] = owner.reportsOn(1)
    assert.deepEqual([report?.outcome, report?.reason], [Outcome.NOT_RUN, Reason.DEADLINE_PASSED])
  })

  it('that passed before the placement causes a refusal', () => {
    const owner = new OwnerFixture()
    owner.heartbeat()
    owner.place([0], { deadlineInMs: 0 })
    assert.equal(owner.reportsOn()[0]?.reason, Reason.DEADLINE_PASSED)
    assert.equal(owner.openRuns.length, 0)
  })

  const ends = [
    { state: StopState.Stopped, outcome: Outcome.FAILED },
    { state: StopState.NeverSeen, outcome: Outcome.NOT_RUN },
    { state: StopState.NoAnswer, outcome: Outcome.UNKNOWN },
  ]
  for (const { state, outcome } of ends) {
    it(`stops a running task and reports the outcome of the answer ${state}`, () => {
      const owner = ownerWithRunningTasks([0, 1], 400)
      owner.advance(450)
      assert.equal(owner.actionsOf(OwnerActionKind.StopTasks).length, 1)
      owner.endStops(state, 1)
      const [report, ...more] = owner.reportsOn()
      assert.deepEqual(
        [report?.outcome, report?.reason, more.length],
        [outcome, Reason.DEADLINE_PASSED, 0],
      )
    })
  }

  it('is the reason when the request of the stopped task fails first', () => {
    const owner = ownerWithRunningTasks([0], 400)
    owner.advance(450)
    owner.end(owner.runOf(), RunResultKind.Failed)
    const [report] = owner.reportsOn()
    assert.deepEqual([report?.outcome, report?.reason], [Outcome.FAILED, Reason.DEADLINE_PASSED])
  })

  it('still accepts the answer of a task that ended before it was stopped', () => {
    const owner = ownerWithRunningTasks([0], 400)
    owner.advance(450)
    owner.endStops(StopState.Ended, 1)
    owner.end(owner.runOf(), RunResultKind.Succeeded)
    assert.equal(owner.reportsOn()[0]?.outcome, Outcome.SUCCEEDED)
  })
})
