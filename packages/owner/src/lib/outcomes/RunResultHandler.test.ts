import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { Outcome, Reason } from '@cherryhitch/protocol'
import { RunResultKind, StopState } from '../endpointResults'
import { JOB, makeResult, OwnerFixture } from '../fixtures/OwnerFixture'
import { OwnerActionKind } from '../OwnerAction'

const TASK = `${JOB}.0`

/** An owner with one endpoint that runs one task. */
function ownerWithRunningTask(): OwnerFixture {
  const owner = new OwnerFixture()
  owner.heartbeat()
  owner.place()
  return owner
}

/** An owner whose run request broke, with the lease renewal that queries the task pending. */
function ownerWithBrokenRequest(): OwnerFixture {
  const owner = ownerWithRunningTask()
  owner.end(owner.runOf(), RunResultKind.Lost)
  owner.endProbe(true)
  owner.advance(50)
  return owner
}

describe('the answer of an endpoint', () => {
  const plain = [
    { kind: RunResultKind.Succeeded, outcome: Outcome.SUCCEEDED, reason: Reason.UNSPECIFIED },
    { kind: RunResultKind.Failed, outcome: Outcome.FAILED, reason: Reason.TASK_FAILED },
    { kind: RunResultKind.Unknown, outcome: Outcome.UNKNOWN, reason: Reason.ENDPOINT_LOST },
  ]
  for (const { kind, outcome, reason } of plain) {
    it(`ends the task when it is ${kind}`, () => {
      const owner = ownerWithRunningTask()
      owner.end(owner.runOf(), kind)
      const [report, ...more] = owner.reportsOn()
      assert.deepEqual([report?.outcome, report?.reason, more.length], [outcome, reason, 0])
      assert.equal(report?.endpoint, 'e1')
      assert.equal(owner.machine.tasks, 0)
    })
  }

  it('passes on the output, the run time and the queueing time', () => {
    const owner = new OwnerFixture()
    owner.heartbeat({ slots: 1 })
    owner.place([0, 1])
    owner.now += 300
    owner.end(owner.runOf(), RunResultKind.Succeeded)
    owner.end(owner.runOf(`${JOB}.1`), makeResult(RunResultKind.Succeeded, { output: '[7]' }))
    const [report] = owner.reportsOn(1)
    assert.deepEqual([report?.output, report?.runMs, report?.queuedMs], ['[7]', 100, 300])
  })

  it('retries a refused task at another endpoint', () => {
    const owner = ownerWithRunningTask()
    owner.heartbeat({ endpoint: 'e2' })
    const refused = owner.runOf()
    owner.end(refused, RunResultKind.NotRun)
    owner.advanceWithHeartbeats(200, { endpoint: 'e1' }, { endpoint: 'e2' })
    assert.equal(owner.openRuns.length, 1)
    assert.notEqual(owner.runOf().endpoint, refused.endpoint)
    assert.equal(owner.runOf().join, false)
  })

  it('reports a task as not run once the retry budget is exhausted', () => {
    const owner = ownerWithRunningTask()
    for (let tries = 0; tries < 20 && owner.reportsOn().length === 0; tries++) {
      if (owner.openRuns.length > 0) owner.end(owner.runOf(), RunResultKind.NotRun)
      owner.advanceWithHeartbeats(500, {})
    }
    const [report, ...more] = owner.reportsOn()
    assert.deepEqual([report?.outcome, more.length], [Outcome.NOT_RUN, 0])
    assert.ok((report?.retryAfterMs ?? 0) > 0)
  })
})

describe('a request that broke', () => {
  it('is joined on a new connection when the endpoint says that the task runs', () => {
    const owner = ownerWithBrokenRequest()
    assert.equal(owner.openRuns.length, 0)
    owner.endRenewal([TASK])
    assert.equal(owner.runOf().join, true)
    assert.equal(owner.runOf().endpoint, 'e1')
    owner.end(owner.runOf(), RunResultKind.Succeeded)
    assert.equal(owner.reportsOn()[0]?.outcome, Outcome.SUCCEEDED)
    assert.equal(owner.actionsOf(OwnerActionKind.StopTasks).length, 0)
  })

  const afterFence = [
    { name: 'fetches the answer of a task that had ended', state: StopState.Ended, joins: true },
    {
      name: 'settles the task as unknown when the fence stopped it',
      state: StopState.Stopped,
      joins: false,
    },
  ]
  for (const { name, state, joins } of afterFence) {
    it(name, () => {
      const owner = ownerWithBrokenRequest()
      owner.endRenewal([])
      owner.endStops(state, 1)
      assert.equal(owner.openRuns.length, joins ? 1 : 0)
      if (joins) owner.end(owner.runOf(), RunResultKind.Succeeded)
      const outcome = joins ? Outcome.SUCCEEDED : Outcome.UNKNOWN
      assert.deepEqual(
        owner.reportsOn().map((report) => report.outcome),
        [outcome],
      )
    })
  }

  it('is retried at another endpoint once its id is fenced as never seen', () => {
    const owner = ownerWithBrokenRequest()
    owner.heartbeat({ endpoint: 'e2' })
    owner.endRenewal([])
    assert.deepEqual(owner.lastAction(OwnerActionKind.StopTasks).taskIds, [TASK])
    assert.equal(owner.openRuns.length, 0)
    owner.endStops(StopState.NeverSeen, 1)
    owner.advance(200)
    assert.deepEqual(
      owner.openRuns.map((run) => [run.endpoint, run.join]),
      [['e2', false]],
    )
  })

  it('is reported as not run when the only endpoint has fenced it', () => {
    const owner = ownerWithBrokenRequest()
    owner.endRenewal([])
    owner.endStops(StopState.NeverSeen, 1)
    assert.equal(owner.reportsOn()[0]?.outcome, Outcome.NOT_RUN)
  })

  const boots = [
    { name: 'a heartbeat of the same process confirms', boot: 1, outcome: Outcome.NOT_RUN },
    { name: 'a restarted process does not', boot: 2, outcome: Outcome.UNKNOWN },
  ]
  for (const { name, boot, outcome } of boots) {
    it(`accepts "never seen" only from the process it was sent to: ${name}`, () => {
      const owner = ownerWithBrokenRequest()
      owner.endRenewal([])
      owner.endStops(StopState.NeverSeen)
      owner.heartbeat()
      assert.equal(owner.reportsOn().length, 0, 'a heartbeat sent before the answer proves nothing')
      owner.advance(150)
      owner.heartbeat({ boot })
      assert.deepEqual(
        owner.reportsOn().map((report) => report.outcome),
        [outcome],
      )
    })
  }

  it('settles the task as unknown when another process answers "never seen"', () => {
    const owner = ownerWithBrokenRequest()
    owner.endRenewal([])
    owner.endStops(StopState.NeverSeen, 2)
    assert.equal(owner.reportsOn()[0]?.outcome, Outcome.UNKNOWN)
  })

  it('settles the task as unknown when a join is refused', () => {
    const owner = ownerWithBrokenRequest()
    owner.endRenewal([TASK])
    owner.end(owner.runOf(), RunResultKind.NotRun)
    assert.equal(owner.reportsOn()[0]?.outcome, Outcome.UNKNOWN)
  })

  it('is abandoned when the lease has expired, not sooner and not much later', () => {
    const owner = ownerWithRunningTask()
    owner.end(owner.runOf(), RunResultKind.Lost)
    owner.endProbe(false)
    owner.advance(2950)
    assert.equal(owner.reportsOn().length, 0)
    owner.advance(300)
    const [report] = owner.reportsOn()
    assert.deepEqual([report?.outcome, report?.reason], [Outcome.UNKNOWN, Reason.ENDPOINT_LOST])
    assert.equal(owner.openRuns.length, 0)
  })

  it('counts the lease from a renewal that may have arrived', () => {
    const owner = ownerWithBrokenRequest()
    owner.endRenewal(undefined)
    owner.endProbe(false)
    const askedAt = owner.now
    owner.advance(2950)
    assert.equal(owner.reportsOn().length, 0)
    owner.advance(300)
    assert.equal(owner.reportsOn()[0]?.outcome, Outcome.UNKNOWN)
    assert.ok(owner.now - askedAt <= 3250)
  })
})

describe('unexpected answers', () => {
  it('are dropped after the task was retried at another endpoint', () => {
    const owner = ownerWithBrokenRequest()
    owner.heartbeat({ endpoint: 'e2' })
    const late = { ...owner.actionsOf(OwnerActionKind.RunTask)[0] }
    owner.endRenewal([])
    owner.endStops(StopState.NeverSeen, 1)
    owner.advance(200)
    assert.equal(owner.runOf().endpoint, 'e2')
    owner.end(late as ReturnType<OwnerFixture['runOf']>, RunResultKind.Succeeded)
    assert.equal(owner.reportsOn().length, 0)
    assert.equal(owner.machine.counters.lateAnswers, 1)
  })

  it('are dropped if they are duplicate, foreign or not requested', () => {
    const owner = ownerWithRunningTask()
    const run = owner.runOf()
    owner.end({ ...run, endpoint: 'e9' }, RunResultKind.Succeeded)
    owner.end({ ...run, taskId: `${JOB}.7` }, RunResultKind.Succeeded)
    owner.end(run, RunResultKind.Succeeded)
    owner.end(run, RunResultKind.NotRun)
    owner.endProbe(true)
    assert.deepEqual(
      owner.reportsOn().map((report) => report.outcome),
      [Outcome.SUCCEEDED],
    )
    assert.equal(owner.machine.counters.lateAnswers, 4)
    assert.equal(owner.actionsOf(OwnerActionKind.RunTask).length, 1)
  })

  it('do not end the task if the first request breaks while a second one is open', () => {
    const owner = ownerWithRunningTask()
    const silent = owner.runOf()
    owner.advanceWithHeartbeats(1600, {})
    owner.endRenewal([])
    owner.advanceWithHeartbeats(250, {})
    owner.endStops(StopState.Ended, 1)
    const join = owner.runOf()
    assert.equal(join.join, true)
    owner.end(silent, RunResultKind.Lost)
    owner.end(join, RunResultKind.Succeeded)
    assert.deepEqual(
      owner.reportsOn().map((report) => report.outcome),
      [Outcome.SUCCEEDED],
    )
  })
})
