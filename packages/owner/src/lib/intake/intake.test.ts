import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { create } from '@bufbuild/protobuf'
import {
  CancelTasksSchema,
  FenceState,
  FenceTasksSchema,
  Outcome,
  Reason,
} from '@cherryhitch/protocol'
import { RunResultKind, StopState } from '../endpointResults'
import { JOB, makeMember, makePreset, OwnerFixture, SERVICE } from '../fixtures/OwnerFixture'
import { OwnerActionKind } from '../OwnerAction'

function cancel(owner: OwnerFixture, jobs: readonly string[], indexes: number[] = []): void {
  const reason = Reason.CANCELLED
  const value = create(CancelTasksSchema, {
    jobs: jobs.map((jobId) => ({ jobId, indexes, reason })),
  })
  owner.message({ case: 'cancelTasks', value })
}

function fence(owner: OwnerFixture, indexes: number[], from = 'c1'): readonly FenceState[] {
  const value = create(FenceTasksSchema, { jobId: JOB, indexes })
  owner.message({ case: 'fenceTasks', value }, from)
  const answer = owner.sent('fenceReports').at(-1)
  return answer?.value.reports.map((report) => report.state) ?? []
}

describe('placements', () => {
  it('of a known task are counted and ignored', () => {
    const owner = new OwnerFixture()
    owner.heartbeat({ slots: 1 })
    owner.place([0, 1])
    owner.place([0, 1])
    owner.end(owner.runOf(), RunResultKind.Succeeded)
    owner.place([0, 1])
    assert.equal(owner.machine.counters.duplicatePlacements, 4)
    assert.equal(owner.actionsOf(OwnerActionKind.RunTask).length, 2)
  })

  it('of a task that did not run are accepted only as a later attempt', () => {
    const owner = new OwnerFixture()
    owner.place()
    assert.equal(owner.reportsOn()[0]?.reason, Reason.NO_ENDPOINT)
    owner.heartbeat()
    owner.place()
    assert.equal(owner.openRuns.length, 0)
    owner.place([0], { attempt: 1 })
    assert.equal(owner.openRuns.length, 1)
  })

  const refusals = [
    {
      name: 'no endpoint is known',
      endpoint: undefined,
      place: {},
      reason: Reason.NO_ENDPOINT,
      retries: true,
    },
    {
      name: 'no worker is large enough',
      endpoint: {},
      place: { spec: { service: SERVICE, payload: '1', resources: { cores: 33 } } },
      reason: Reason.NEVER_FITS,
      retries: false,
    },
  ]
  for (const { name, endpoint, place, reason, retries } of refusals) {
    it(`are refused as not run when ${name}`, () => {
      const owner = new OwnerFixture()
      if (endpoint !== undefined) owner.heartbeat(endpoint)
      owner.place([0], place)
      const [report] = owner.reportsOn()
      assert.deepEqual([report?.outcome, report?.reason], [Outcome.NOT_RUN, reason])
      assert.equal((report?.retryAfterMs ?? 0) > 0, retries)
    })
  }

  it('are refused as a whole when the queue is full', () => {
    const owner = new OwnerFixture({ preset: makePreset({ queuedTasksPerSlot: 2 }) })
    owner.heartbeat({ slots: 2 })
    owner.place([0, 1, 2], { jobId: 'c1.1.2' })
    owner.place([0, 1, 2, 3])
    assert.deepEqual(
      [0, 1, 2, 3].map((index) => owner.reportsOn(index)[0]?.reason),
      Array(4).fill(Reason.QUEUE_FULL),
    )
  })

  it('are refused to a caller whose share of the queue is used up while others wait', () => {
    const preset = makePreset({ queuedTasksPerSlot: 10, callerQueueShare: 0.5 })
    const owner = new OwnerFixture({ preset })
    owner.heartbeat({ slots: 1 })
    owner.place([0, 1, 2, 3, 4, 5], { jobId: 'c1.1.2' })
    owner.place([0], { caller: 'desk' })
    owner.place([0], { jobId: 'c1.1.3' })
    assert.equal(owner.reportsOn().length, 0)
    assert.equal(owner.reportsOn(0, 'c1.1.3')[0]?.reason, Reason.CALLER_LIMIT)
  })

  it('batch the reports of one step into one message', () => {
    const owner = new OwnerFixture()
    owner.place([0, 1, 2])
    assert.equal(owner.sent('taskReports').length, 1)
  })
})

describe('cancellation', () => {
  it('removes queued tasks and stops running ones, without reports', () => {
    const owner = new OwnerFixture()
    owner.heartbeat({ slots: 1 })
    owner.place([0, 1])
    cancel(owner, [JOB])
    owner.endStops(StopState.Stopped)
    assert.deepEqual([owner.reports.size, owner.machine.tasks], [0, 0])
    assert.equal(owner.actionsOf(OwnerActionKind.DropRun).length, 1)
    owner.place([2])
    assert.equal(owner.openRuns.length, 1, 'a late placement of a cancelled job starts nothing')
  })

  it('of thousands of jobs costs one message for each endpoint', () => {
    const owner = new OwnerFixture()
    const endpoints = [...Array(20).keys()].map((n) => ({ endpoint: `e${n}` }))
    for (const endpoint of endpoints) owner.heartbeat(endpoint)
    const jobs = [...Array(3000).keys()].map((n) => `c1.1.${n.toString(36)}`)
    for (const jobId of jobs) owner.place([0], { jobId })
    owner.actions = []
    cancel(owner, jobs)
    assert.equal(owner.actionsOf(OwnerActionKind.StopTasks).length, 20)
    assert.equal(owner.actions.length, 20)
    assert.equal(owner.machine.counters.cancelledQueued, 3000 - 160)
  })

  it('holds the slot until the endpoint answers, and repeats an unanswered stop', () => {
    const owner = new OwnerFixture()
    owner.heartbeat({ slots: 1 })
    owner.place([0, 1])
    cancel(owner, [JOB], [0])
    owner.endStops(StopState.NoAnswer)
    owner.endProbe(true)
    assert.equal(owner.openRuns.length, 1)
    owner.advanceWithHeartbeats(600, { slots: 1 })
    owner.endStops(StopState.Stopped)
    assert.equal(owner.runOf(`${JOB}.1`).endpoint, 'e1')
    assert.equal(owner.machine.counters.stopMessages, 2)
  })

  it('sends no stop for a task whose answer came first', () => {
    const owner = new OwnerFixture()
    owner.heartbeat()
    owner.place([0, 1, 2])
    cancel(owner, [JOB], [0])
    cancel(owner, [JOB], [1, 2])
    owner.end(owner.runOf(`${JOB}.1`), RunResultKind.Succeeded)
    owner.endStops(StopState.Stopped)
    assert.deepEqual(owner.lastAction(OwnerActionKind.StopTasks).taskIds, [`${JOB}.2`])
    assert.equal(owner.reports.size, 0)
  })
})

describe('fences', () => {
  it('report the state of each task, and refuse a late placement of one never seen', () => {
    const owner = new OwnerFixture()
    owner.heartbeat({ slots: 2 })
    owner.place([0, 1, 2])
    owner.end(owner.runOf(), RunResultKind.Succeeded)
    assert.deepEqual(fence(owner, [0, 1, 2, 7]), [
      FenceState.ENDED,
      FenceState.IN_PROGRESS,
      FenceState.IN_PROGRESS,
      FenceState.NEVER_SEEN,
    ])
    assert.equal(owner.reportsOn(0).length, 2, 'the report of an ended task is sent again')
    owner.place([7])
    assert.equal(owner.machine.counters.fencedPlacements, 1)
    assert.equal(owner.reportsOn(7).length, 0)
  })

  it('expire', () => {
    const owner = new OwnerFixture()
    fence(owner, [0])
    owner.advance(61_000)
    owner.heartbeat()
    owner.place()
    assert.equal(owner.openRuns.length, 1)
  })

  it('report the outcome as unknown if the output was too large to be kept', () => {
    const owner = new OwnerFixture({ limits: { rememberedOutputChars: 3 } })
    owner.heartbeat()
    owner.place()
    owner.end(owner.runOf(), RunResultKind.Succeeded)
    assert.deepEqual(fence(owner, [0]), [FenceState.ENDED])
    assert.equal(owner.reportsOn().at(-1)?.outcome, Outcome.UNKNOWN)
  })
})

describe('a lost coordinator', () => {
  const SELF = makeMember('o1', { self: true })
  const SOUTH = { zone: 'south' }

  function makeBusyOwner(): OwnerFixture {
    const owner = new OwnerFixture()
    owner.members(SELF, makeMember('c1', SOUTH))
    owner.heartbeat({ slots: 1 })
    owner.place([0, 1])
    return owner
  }

  /** Advances the time while the endpoint renews the lease of its task. */
  function passWithRenewals(owner: OwnerFixture, ms: number): void {
    for (let passed = 0; passed < ms; passed += 500) {
      owner.actions = []
      owner.advanceWithHeartbeats(500, { slots: 1 })
      if (owner.actionsOf(OwnerActionKind.StopTasks).length > 0) return
      if (owner.actionsOf(OwnerActionKind.RenewLeases).length > 0) owner.endRenewal([`${JOB}.0`])
    }
  }

  it('keeps its tasks through a short silence', () => {
    const owner = makeBusyOwner()
    owner.members(SELF, makeMember('c1', { ...SOUTH, alive: false, heardAt: owner.now }))
    passWithRenewals(owner, 9000)
    owner.members(SELF, makeMember('c1', SOUTH))
    passWithRenewals(owner, 9000)
    assert.equal(owner.machine.tasks, 2)
  })

  const losses = [
    { name: 'was silent for too long', view: { alive: false, heardAt: 1000 }, ms: 12_000 },
    { name: 'restarted', view: { boot: 2 }, ms: 0 },
  ]
  for (const { name, view, ms } of losses) {
    it(`has its tasks cancelled when it ${name}`, () => {
      const owner = makeBusyOwner()
      owner.members(SELF, makeMember('c1', { ...SOUTH, ...view }))
      passWithRenewals(owner, ms)
      assert.deepEqual(owner.lastAction(OwnerActionKind.StopTasks).taskIds, [`${JOB}.0`])
      owner.endStops(StopState.Stopped)
      assert.deepEqual([owner.machine.tasks, owner.reports.size], [0, 0])
      assert.equal(owner.machine.counters.coordinatorsLost, 1)
    })
  }
})
