import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { parseTraceparent } from '@cherryhitch/model'
import { InstanceState, JobState, Outcome, Reason } from '@cherryhitch/protocol'
import { CoordinatorActionKind, CoordinatorEventKind } from '../index'
import {
  CoordinatorFixture,
  failed,
  makeSpec,
  notRun,
  SELF,
  succeeded,
  testPreset,
} from './fixtures/CoordinatorFixture'

function started(tasks: number, owners: readonly string[] = ['a2']): CoordinatorFixture {
  const fixture = new CoordinatorFixture()
  fixture.members({ instance: SELF, slots: 0 }, ...owners.map((instance) => ({ instance })))
  fixture.submit(makeSpec({ tasks }))
  return fixture
}

describe('a job in flight', () => {
  it('gets one answer for all tasks, with the outputs in the order of the tasks', () => {
    const fixture = started(3)
    fixture.report('a2', fixture.jobId, succeeded(2), succeeded(0))
    assert.deepEqual(fixture.replies('r1'), [])
    fixture.report('a2', fixture.jobId, succeeded(1))
    const answer = fixture.reply('r1')
    assert.equal(answer?.state, JobState.SUCCEEDED)
    assert.equal(answer.outcome, Outcome.SUCCEEDED)
    assert.deepEqual(answer.outputs, ['"out 0"', '"out 1"', '"out 2"'])
    assert.equal(fixture.machine.jobsInFlight, 0)
  })

  it('is sent to each owner in one message that names the coordinator to report to', () => {
    const fixture = started(4, ['a2', 'a3'])
    const messages = fixture.sent('placeTasks')
    assert.deepEqual(messages.map(({ to }) => to).sort(), ['a2', 'a3'])
    for (const { value } of messages) {
      assert.equal(value.coordinator, SELF)
      assert.equal(value.jobRemaining, 4)
    }
    const indexes = messages.flatMap(({ value }) => value.tasks.map((task) => task.index))
    assert.deepEqual(indexes.sort(), [0, 1, 2, 3])
  })

  it('can be placed on the instance of its coordinator', () => {
    const fixture = new CoordinatorFixture()
    fixture.members({ instance: SELF })
    const request = fixture.submit(makeSpec())
    assert.deepEqual(fixture.placed, [`${SELF}:0`])
    fixture.report(SELF, fixture.jobId, succeeded(0))
    assert.equal(fixture.reply(request)?.state, JobState.SUCCEEDED)
  })

  it('records a span for itself and one for each placement, in one trace', () => {
    const fixture = started(2, ['a2', 'a3'])
    fixture.report('a2', fixture.jobId, succeeded(0), succeeded(1))
    fixture.report('a3', fixture.jobId, succeeded(0), succeeded(1))
    const spans = fixture.actionsOf(CoordinatorActionKind.Span).map(({ span }) => span)
    const job = spans.find((span) => span.name === 'coordinator.job')
    const hops = spans.filter((span) => span.name === 'coordinator.place')
    assert.equal(hops.length, 2)
    for (const hop of hops) {
      assert.equal(hop.traceId, job?.traceId)
      assert.equal(hop.parentSpanId, job?.spanId)
    }
    const sent = fixture.sent('placeTasks').map(({ value }) => parseTraceparent(value.traceparent))
    assert.deepEqual(sent.map((each) => each?.spanId).sort(), hops.map((hop) => hop.spanId).sort())
  })

  it('fails at once and without outputs if one task fails, and cancels the other tasks', () => {
    const fixture = started(4, ['a2', 'a3'])
    const [first] = fixture.sent('placeTasks')
    const index = first?.value.tasks[0]?.index ?? 0
    fixture.report('a2', fixture.jobId, failed(index))
    const answer = fixture.reply('r1')
    assert.equal(answer?.state, JobState.FAILED)
    assert.equal(answer.outcome, Outcome.UNKNOWN)
    assert.equal(answer.reason, Reason.TASK_FAILED)
    assert.equal(answer.detail, 'no such register')
    assert.deepEqual(answer.outputs, [])
    const cancelled = fixture.sent('cancelTasks').map(({ to, value }) => [to, value.jobs.length])
    assert.deepEqual(cancelled.sort(), [
      ['a2', 1],
      ['a3', 1],
    ])
  })

  it('fails at its deadline, and its unfinished tasks are cancelled', () => {
    const fixture = started(1)
    fixture.advance(9990)
    assert.deepEqual(fixture.replies('r1'), [])
    fixture.advance(30)
    assert.equal(fixture.reply('r1')?.reason, Reason.DEADLINE_PASSED)
    assert.equal(fixture.reply('r1')?.outcome, Outcome.UNKNOWN)
    assert.equal(fixture.sent('cancelTasks').length, 1)
  })

  it('is reported as not run if every owner dropped its tasks just before the deadline', () => {
    const fixture = started(2, ['a2', 'a3'])
    const owners = fixture.sent('placeTasks')
    for (const { to, value } of owners) {
      assert.deepEqual(fixture.replies('r1'), [])
      const index = value.tasks[0]?.index ?? 0
      fixture.report(to, fixture.jobId, notRun(index, Reason.DEADLINE_PASSED))
    }
    assert.equal(fixture.reply('r1')?.outcome, Outcome.NOT_RUN)
    assert.equal(fixture.reply('r1')?.reason, Reason.DEADLINE_PASSED)
  })

  it('is cancelled if its caller disconnects and nothing can fetch its answer later', () => {
    const fixture = started(1)
    fixture.callerGone('r1')
    assert.equal(fixture.machine.jobsInFlight, 0)
    assert.equal(fixture.sent('cancelTasks').length, 1)
    assert.deepEqual(fixture.replies('r1'), [])
  })
})

describe('cancellations', () => {
  it('are sent to an owner in batches of many jobs', () => {
    const fixture = new CoordinatorFixture()
    fixture.members({ instance: SELF, slots: 0 }, { instance: 'a2' })
    const requests = Array.from({ length: 100 }, () => fixture.submit(makeSpec()))
    for (const request of requests) fixture.callerGone(request)
    fixture.advance(50)
    const messages = fixture.sent('cancelTasks')
    const jobs = messages.flatMap(({ value }) => value.jobs)
    assert.equal(jobs.length, 100)
    assert.equal(messages.length, 2)
  })

  it('are held back while the owner is not reachable', () => {
    const fixture = started(1)
    fixture.members({ instance: SELF, slots: 0 }, { instance: 'a2', alive: false })
    fixture.callerGone('r1')
    fixture.advance(100)
    assert.equal(fixture.sent('cancelTasks').length, 0)
    fixture.members({ instance: SELF, slots: 0 }, { instance: 'a2' })
    assert.equal(fixture.sent('cancelTasks').length, 1)
  })
})

describe('a job is refused immediately, as not run', () => {
  const cases = [
    {
      name: 'no owner offers the service',
      members: [{ instance: SELF, slots: 0 }],
      reason: Reason.NO_ENDPOINT,
    },
    {
      name: 'the only owner is not alive',
      members: [{ instance: 'a2', alive: false }],
      reason: Reason.NO_ENDPOINT,
    },
    {
      name: 'the only owner is draining',
      members: [{ instance: 'a2', state: InstanceState.DRAINING }],
      reason: Reason.NO_ENDPOINT,
    },
    {
      name: 'it has no tasks',
      members: [{ instance: 'a2' }],
      spec: { tasks: 0 },
      reason: Reason.NEVER_FITS,
    },
    {
      name: 'it has too many tasks',
      members: [{ instance: 'a2' }],
      spec: { tasks: 10_001 },
      reason: Reason.NEVER_FITS,
    },
    {
      name: 'its deadline has passed',
      members: [{ instance: 'a2' }],
      spec: { deadlineInMs: -1 },
      reason: Reason.DEADLINE_PASSED,
    },
  ]
  for (const { name, members, spec, reason } of cases) {
    it(`when ${name}`, () => {
      const fixture = new CoordinatorFixture()
      fixture.members(...members)
      const answer = fixture.reply(fixture.submit(makeSpec(spec)))
      assert.equal(answer?.state, JobState.REFUSED)
      assert.equal(answer.outcome, Outcome.NOT_RUN)
      assert.equal(answer.reason, reason)
      assert.deepEqual(fixture.placed, [])
      assert.equal(fixture.machine.jobsInFlight, 0)
    })
  }

  it('when the preset admits no more jobs, until a job ends', () => {
    const fixture = new CoordinatorFixture()
    fixture.members({ instance: 'a2' })
    const preset = { ...testPreset, jobsInFlightPerInstance: 1 }
    fixture.step({ kind: CoordinatorEventKind.Preset, preset, version: 7, current: true })
    fixture.submit(makeSpec())
    const refused = fixture.reply(fixture.submit(makeSpec()))
    assert.equal(refused?.outcome, Outcome.NOT_RUN)
    assert.equal(refused.settingsVersion, 7)
    assert.equal(refused.settingsCurrent, true)
    assert.ok(refused.retryAfterMs > 0)
    fixture.report('a2', fixture.jobId, succeeded(0))
    assert.deepEqual(fixture.replies(fixture.submit(makeSpec())), [])
  })

  it('under the newest preset, which an older one does not replace', () => {
    const fixture = new CoordinatorFixture()
    fixture.members({ instance: 'a2' })
    const closed = { ...testPreset, jobsInFlightPerInstance: 0 }
    fixture.step({ kind: CoordinatorEventKind.Preset, preset: closed, version: 8, current: true })
    fixture.step({
      kind: CoordinatorEventKind.Preset,
      preset: testPreset,
      version: 7,
      current: true,
    })
    assert.equal(fixture.reply(fixture.submit(makeSpec()))?.settingsVersion, 8)
  })
})

describe('draining', () => {
  it('refuses new jobs, finishes the others and reports once that it has drained', () => {
    const fixture = started(1)
    fixture.step({ kind: CoordinatorEventKind.Drain })
    const refused = fixture.reply(fixture.submit(makeSpec()))
    assert.equal(refused?.reason, Reason.DRAINING)
    assert.equal(refused.outcome, Outcome.NOT_RUN)
    assert.ok(refused.retryAfterMs > 0)
    assert.equal(fixture.actionsOf(CoordinatorActionKind.Drained).length, 0)
    fixture.report('a2', fixture.jobId, succeeded(0))
    assert.equal(fixture.reply('r1')?.state, JobState.SUCCEEDED)
    fixture.advance(100)
    assert.equal(fixture.actionsOf(CoordinatorActionKind.Drained).length, 1)
  })
})

describe('a draining coordinator', () => {
  for (const isRead of [true, false]) {
    it(`waits a while for answers to be fetched: ${isRead ? 'fetched' : 'not fetched'}`, () => {
      const fixture = new CoordinatorFixture()
      fixture.members({ instance: 'a2' })
      const jobId = fixture.reply(fixture.submit(makeSpec(), true))?.jobId ?? ''
      fixture.step({ kind: CoordinatorEventKind.Drain })
      fixture.report('a2', jobId, succeeded(0))
      fixture.advance(1000)
      assert.equal(fixture.actionsOf(CoordinatorActionKind.Drained).length, 0)
      if (isRead) assert.equal(fixture.reply(fixture.query(jobId))?.state, JobState.SUCCEEDED)
      else fixture.advance(4000)
      assert.equal(fixture.actionsOf(CoordinatorActionKind.Drained).length, 1)
    })
  }
})

describe('placement by offers', () => {
  it('counts tasks that it placed until a new summary includes them', () => {
    const fixture = new CoordinatorFixture()
    fixture.members({ instance: 'a2', slots: 8 }, { instance: 'a3', slots: 8 })
    for (let i = 0; i < 16; i++) fixture.submit(makeSpec())
    const owners = fixture.sent('placeTasks').map(({ to }) => to)
    assert.equal(owners.filter((to) => to === 'a2').length, 8)
  })

  it('does not use a silent owner while another one offers the service', () => {
    const fixture = new CoordinatorFixture()
    const heardAt = fixture.now - 1600
    fixture.members({ instance: 'a2', slots: 80, heardAt }, { instance: 'a3', slots: 1 })
    for (let i = 0; i < 4; i++) fixture.submit(makeSpec())
    assert.ok(fixture.placed.every((each) => each.startsWith('a3')))
    fixture.members({ instance: 'a2', heardAt })
    fixture.submit(makeSpec())
    assert.equal(fixture.placed.at(-1), 'a2:0')
  })
})
