import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import type { TaskReport } from '@cherryhitch/protocol'
import { JobState, Outcome, Reason } from '@cherryhitch/protocol'
import {
  CoordinatorFixture,
  failed,
  makeSpec,
  notRun,
  SELF,
  succeeded,
  testPreset,
  unknown,
} from '../fixtures/CoordinatorFixture'

/** Longer than any delay of a retry. */
const RETRY_MS = 2500

function withOwners(...owners: readonly string[]): CoordinatorFixture {
  const fixture = new CoordinatorFixture()
  fixture.members({ instance: SELF, slots: 0 }, ...owners.map((instance) => ({ instance })))
  return fixture
}

describe('the outcome of a failed job', () => {
  // Reports on a job of two tasks at one owner, with no other owner to retry them at.
  const cases: readonly { name: string; reports: readonly TaskReport[]; outcome: Outcome }[] = [
    { name: 'no task ran', reports: [notRun(0), notRun(1)], outcome: Outcome.NOT_RUN },
    { name: 'one did not run, one is in flight', reports: [notRun(0)], outcome: Outcome.UNKNOWN },
    {
      name: 'one did not run, one ran',
      reports: [succeeded(0), notRun(1)],
      outcome: Outcome.UNKNOWN,
    },
    {
      name: 'one did not run, one failed',
      reports: [notRun(0), failed(1)],
      outcome: Outcome.UNKNOWN,
    },
    {
      name: 'one did not run, one may have run',
      reports: [unknown(0), notRun(1)],
      outcome: Outcome.UNKNOWN,
    },
    { name: 'one failed, one is in flight', reports: [failed(1)], outcome: Outcome.UNKNOWN },
    { name: 'one may have run, one is in flight', reports: [unknown(1)], outcome: Outcome.UNKNOWN },
  ]
  for (const { name, reports, outcome } of cases) {
    it(`${Outcome[outcome]} when ${name}`, () => {
      const fixture = withOwners('a2')
      const request = fixture.submit(makeSpec({ tasks: 2 }))
      fixture.report('a2', fixture.jobId, ...reports)
      fixture.advance(RETRY_MS)
      assert.equal(fixture.reply(request)?.state, JobState.FAILED)
      assert.equal(fixture.reply(request)?.outcome, outcome)
      assert.deepEqual(fixture.reply(request)?.outputs, [])
    })
  }
})

describe('a task that is known not to have run', () => {
  const retried = [
    Reason.ENDPOINT_REFUSED,
    Reason.NO_ENDPOINT,
    Reason.QUEUE_FULL,
    Reason.DRAINING,
    Reason.ENDPOINT_LOST,
  ]
  for (const reason of retried) {
    it(`is placed with another owner after ${Reason[reason]}`, () => {
      const fixture = withOwners('a2', 'a3')
      const request = fixture.submit(makeSpec())
      const [first] = fixture.sent('placeTasks')
      const other = first?.to === 'a2' ? 'a3' : 'a2'
      fixture.report(first?.to ?? '', fixture.jobId, notRun(0, reason))
      fixture.advance(RETRY_MS)
      const again = fixture.sent('placeTasks')[1]
      assert.equal(again?.to, other)
      assert.equal(again.value.tasks[0]?.attempt, 1)
      fixture.report(other, fixture.jobId, succeeded(0))
      assert.equal(fixture.reply(request)?.state, JobState.SUCCEEDED)
    })
  }

  for (const reason of [Reason.NEVER_FITS, Reason.TOO_LATE, Reason.CALLER_LIMIT]) {
    it(`fails its job at once after ${Reason[reason]}`, () => {
      const fixture = withOwners('a2', 'a3')
      const request = fixture.submit(makeSpec())
      const [first] = fixture.sent('placeTasks')
      fixture.report(first?.to ?? '', fixture.jobId, notRun(0, reason))
      assert.equal(fixture.reply(request)?.reason, reason)
      assert.equal(fixture.reply(request)?.outcome, Outcome.NOT_RUN)
    })
  }

  it('is placed again in one message with the other tasks of its owner', () => {
    const fixture = withOwners('a2')
    fixture.submit(makeSpec({ tasks: 5 }))
    fixture.members({ instance: SELF, slots: 0 }, { instance: 'a2' }, { instance: 'a3' })
    const reports = [0, 1, 2, 3, 4].map((index) => notRun(index, Reason.DRAINING))
    fixture.report('a2', fixture.jobId, ...reports)
    fixture.advance(RETRY_MS)
    assert.deepEqual(fixture.placed, ['a2:0,1,2,3,4', 'a3:0,1,2,3,4'])
  })

  it('waits for a new owner when its endpoints are moving to another instance', () => {
    const fixture = withOwners('a2')
    const request = fixture.submit(makeSpec())
    fixture.report('a2', fixture.jobId, notRun(0, Reason.DRAINING))
    fixture.advance(600)
    assert.deepEqual(fixture.replies(request), [])
    fixture.members({ instance: SELF, slots: 0 }, { instance: 'a3' })
    fixture.advance(200)
    assert.deepEqual(fixture.placed, ['a2:0', 'a3:0'])
  })

  it('is never placed again with an owner that had it, so that old reports do not count', () => {
    const fixture = withOwners('a2', 'a3')
    const request = fixture.submit(makeSpec())
    const first = fixture.sent('placeTasks')[0]?.to ?? ''
    const other = first === 'a2' ? 'a3' : 'a2'
    fixture.report(first, fixture.jobId, notRun(0))
    fixture.advance(RETRY_MS)
    fixture.report(first, fixture.jobId, notRun(0))
    fixture.advance(RETRY_MS)
    assert.equal(fixture.placed.length, 2)
    assert.deepEqual(fixture.replies(request), [])
    assert.equal(fixture.machine.counters.repeatedReports, 1)
    fixture.report(other, fixture.jobId, notRun(0))
    fixture.advance(RETRY_MS)
    assert.equal(fixture.placed.length, 2)
    assert.equal(fixture.reply(request)?.outcome, Outcome.NOT_RUN)
  })

  it('is not retried without a retry budget or past the deadline', () => {
    const withoutBudget = new CoordinatorFixture({ preset: { ...testPreset, retryBudget: 0 } })
    withoutBudget.members({ instance: 'a2' }, { instance: 'a3' })
    const request = withoutBudget.submit(makeSpec())
    withoutBudget.report(
      withoutBudget.sent('placeTasks')[0]?.to ?? '',
      withoutBudget.jobId,
      notRun(0),
    )
    assert.equal(withoutBudget.reply(request)?.reason, Reason.RETRY_BUDGET)
    assert.equal(withoutBudget.reply(request)?.outcome, Outcome.NOT_RUN)

    const late = withOwners('a2', 'a3')
    const lateRequest = late.submit(makeSpec({ deadlineInMs: 1 }))
    late.report(late.sent('placeTasks')[0]?.to ?? '', late.jobId, notRun(0))
    late.advance(RETRY_MS)
    assert.equal(late.placed.length, 1)
    assert.equal(late.reply(lateRequest)?.outcome, Outcome.NOT_RUN)
  })
})

describe('reports that do not count', () => {
  const own = (fixture: CoordinatorFixture): string => fixture.jobId
  const cases = [
    { name: 'a repeated report on a task', jobId: own, index: 0, counter: 'repeatedReports' },
    { name: 'a task that does not exist', jobId: own, index: 7, counter: 'foreignReports' },
    {
      name: 'a job of another coordinator',
      jobId: () => 'a9.2s.1',
      index: 1,
      counter: 'foreignReports',
    },
    {
      name: 'a job of an earlier boot',
      jobId: () => `${SELF}.1.1`,
      index: 1,
      counter: 'foreignReports',
    },
    { name: 'a malformed job id', jobId: () => 'x', index: 1, counter: 'foreignReports' },
    {
      name: 'an unknown job',
      jobId: () => `${SELF}.2s.zz`,
      index: 1,
      counter: 'lateReports',
    },
  ] as const
  for (const { name, jobId, index, counter } of cases) {
    it(`are counted and dropped: ${name}`, () => {
      const fixture = withOwners('a2')
      const request = fixture.submit(makeSpec({ tasks: 2 }))
      fixture.report('a2', fixture.jobId, succeeded(0, '"first"'))
      fixture.report('a2', jobId(fixture), succeeded(index, '"wrong"'))
      assert.deepEqual(fixture.replies(request), [])
      assert.equal(fixture.machine.counters[counter], 1)
      fixture.report('a2', fixture.jobId, succeeded(1, '"second"'))
      assert.deepEqual(fixture.reply(request)?.outputs, ['"first"', '"second"'])
    })
  }

  it('are counted and dropped after the end of the job', () => {
    const fixture = withOwners('a2')
    const request = fixture.submit(makeSpec())
    fixture.report('a2', fixture.jobId, succeeded(0))
    fixture.report('a2', fixture.jobId, failed(0))
    assert.equal(fixture.reply(request)?.state, JobState.SUCCEEDED)
    assert.equal(fixture.machine.counters.lateReports, 1)
  })

  it('do not include a result from an earlier owner of the task', () => {
    const fixture = withOwners('a2')
    const request = fixture.submit(makeSpec())
    fixture.report('a2', fixture.jobId, notRun(0, Reason.DRAINING))
    fixture.members({ instance: SELF, slots: 0 }, { instance: 'a3' })
    fixture.advance(RETRY_MS)
    assert.deepEqual(fixture.placed, ['a2:0', 'a3:0'])
    fixture.report('a2', fixture.jobId, succeeded(0))
    assert.equal(fixture.reply(request)?.state, JobState.SUCCEEDED)
  })

  it('do not include a report from an owner that the task was passed on to', () => {
    const fixture = withOwners('a2')
    const request = fixture.submit(makeSpec())
    fixture.report('a3', fixture.jobId, succeeded(0))
    assert.equal(fixture.reply(request)?.state, JobState.SUCCEEDED)
    assert.equal(fixture.machine.counters.passedOnReports, 1)
  })
})
