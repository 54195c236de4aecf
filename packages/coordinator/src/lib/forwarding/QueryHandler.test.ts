import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { create } from '@bufbuild/protobuf'
import type { JobAnswer } from '@cherryhitch/protocol'
import {
  JobAnswerSchema,
  JobQuerySchema,
  JobReplySchema,
  JobState,
  Outcome,
  Reason,
} from '@cherryhitch/protocol'
import { CoordinatorEventKind } from '../CoordinatorEvent'
import type { CoordinatorOptions } from '../CoordinatorOptions'
import { CoordinatorFixture, makeSpec, SELF, succeeded } from '../fixtures/CoordinatorFixture'

/** A job of boot 1 at the instance `a2`. */
const REMOTE_JOB = 'a2.1.7'

function fixtureWith(options: Partial<CoordinatorOptions> = {}): CoordinatorFixture {
  const fixture = new CoordinatorFixture(options)
  fixture.members({ instance: SELF }, { instance: 'a2', slots: 0 })
  return fixture
}

function asyncJob(fixture: CoordinatorFixture): string {
  return fixture.reply(fixture.submit(makeSpec(), true))?.jobId ?? ''
}

function jobReply(fixture: CoordinatorFixture, from: string, answer: JobAnswer | undefined): void {
  const requestId = fixture.sent('jobQuery').at(-1)?.value.requestId ?? ''
  const value = create(JobReplySchema, answer === undefined ? { requestId } : { requestId, answer })
  const message = { case: 'jobReply', value } as const
  fixture.step({ kind: CoordinatorEventKind.Message, from, message })
}

const done = create(JobAnswerSchema, {
  jobId: REMOTE_JOB,
  state: JobState.SUCCEEDED,
  outputs: ['1'],
})

describe('a query about a job of this coordinator', () => {
  it('returns the running and then the ended state to the caller of the job', () => {
    const fixture = fixtureWith()
    const jobId = asyncJob(fixture)
    const waitingRequest = fixture.query(jobId, { wait: true })
    assert.equal(fixture.reply(fixture.query(jobId))?.state, JobState.RUNNING)
    assert.deepEqual(fixture.replies(waitingRequest), [])
    fixture.report(SELF, jobId, succeeded(0))
    assert.equal(fixture.reply(waitingRequest)?.state, JobState.SUCCEEDED)
    assert.deepEqual(fixture.reply(fixture.query(jobId))?.outputs, ['"out 0"'])
  })

  it('gives no information to another caller, and does not let it cancel the job', () => {
    const fixture = fixtureWith()
    const jobId = asyncJob(fixture)
    for (const query of [{ caller: 'thief' }, { caller: 'thief', cancel: true }]) {
      assert.deepEqual(fixture.replies(fixture.query(jobId, query)), [undefined])
    }
    assert.equal(fixture.machine.jobsInFlight, 1)
    fixture.report(SELF, jobId, succeeded(0))
    assert.deepEqual(fixture.replies(fixture.query(jobId, { caller: 'thief' })), [undefined])
  })

  it('cancels the job, with an unknown outcome once a task was placed', () => {
    const fixture = fixtureWith()
    const jobId = asyncJob(fixture)
    const answer = fixture.reply(fixture.query(jobId, { cancel: true }))
    assert.equal(answer?.state, JobState.CANCELLED)
    assert.equal(answer.outcome, Outcome.UNKNOWN)
    assert.equal(fixture.sent('cancelTasks').length, 1)
    assert.equal(fixture.reply(fixture.query(jobId))?.state, JobState.CANCELLED)
  })

  it('reports a lost coordinator for a job of an earlier boot of this instance', () => {
    const fixture = fixtureWith()
    const answer = fixture.reply(fixture.query(`${SELF}.1.1`))
    assert.equal(answer?.reason, Reason.COORDINATOR_LOST)
    assert.equal(answer.outcome, Outcome.UNKNOWN)
  })

  for (const jobId of ['', 'x', `${SELF}.2s.zz`, `${SELF}.zzz.1`, 'z9.1.1']) {
    it(`has no answer for job id ${JSON.stringify(jobId)}`, () => {
      const fixture = fixtureWith()
      assert.deepEqual(fixture.replies(fixture.query(jobId)), [undefined])
    })
  }
})

describe('stored answers', () => {
  it('are removed after the retention period', () => {
    const fixture = fixtureWith({ timing: { answerRetentionMs: 1000 } })
    const jobId = asyncJob(fixture)
    fixture.report(SELF, jobId, succeeded(0))
    fixture.advance(900)
    assert.equal(fixture.reply(fixture.query(jobId))?.state, JobState.SUCCEEDED)
    fixture.advance(200)
    assert.deepEqual(fixture.replies(fixture.query(jobId)), [undefined])
  })

  for (const limits of [{ keptAnswers: 2 }, { keptAnswerChars: 700 }]) {
    it(`are bounded by ${Object.keys(limits).join()}; the oldest is removed first`, () => {
      const fixture = fixtureWith({ limits })
      const ids = [0, 1, 2].map(() => asyncJob(fixture))
      for (const jobId of ids) fixture.report(SELF, jobId, succeeded(0))
      const states = ids.map((jobId) => fixture.reply(fixture.query(jobId))?.state)
      assert.deepEqual(states, [undefined, JobState.SUCCEEDED, JobState.SUCCEEDED])
    })
  }
})

describe("a query about another coordinator's job", () => {
  it('is forwarded, and the answer is returned to the caller', () => {
    const fixture = fixtureWith()
    const request = fixture.query(REMOTE_JOB, { cancel: true })
    const [forwarded] = fixture.sent('jobQuery')
    assert.equal(forwarded?.to, 'a2')
    assert.equal(forwarded.value.cancel, true)
    assert.equal(forwarded.value.caller, 'desk')
    jobReply(fixture, 'a2', done)
    assert.deepEqual(fixture.reply(request)?.outputs, ['1'])
  })

  it('accepts one answer, and only from the instance that it was forwarded to', () => {
    const fixture = fixtureWith()
    const request = fixture.query(REMOTE_JOB)
    jobReply(fixture, 'a3', done)
    assert.deepEqual(fixture.replies(request), [])
    jobReply(fixture, 'a2', undefined)
    jobReply(fixture, 'a2', done)
    assert.deepEqual(fixture.replies(request), [undefined])
    assert.equal(fixture.machine.counters.strayReplies, 2)
  })

  it('is resent, and answered with an unspecified state when it times out', () => {
    const fixture = fixtureWith()
    const request = fixture.query(REMOTE_JOB)
    fixture.advance(1500)
    assert.equal(fixture.sent('jobQuery').length, 2)
    assert.deepEqual(fixture.replies(request), [])
    fixture.advance(600)
    const answer = fixture.reply(request)
    assert.equal(answer?.state, JobState.UNSPECIFIED)
    assert.equal(answer.outcome, Outcome.UNKNOWN)
    assert.ok(answer.retryAfterMs > 0)
  })

  const restarted = { instance: 'a2', slots: 0, boot: 2 }
  it('is answered as lost when that boot is gone before or after it was forwarded', () => {
    const fixture = fixtureWith()
    const waitingRequest = fixture.query(REMOTE_JOB, { wait: true })
    fixture.advance(10_000)
    assert.deepEqual(fixture.replies(waitingRequest), [])
    fixture.members({ instance: SELF }, restarted)
    for (const request of [waitingRequest, fixture.query(REMOTE_JOB)]) {
      assert.equal(fixture.reply(request)?.reason, Reason.COORDINATOR_LOST)
      assert.equal(fixture.reply(request)?.state, JobState.FAILED)
      assert.equal(fixture.reply(request)?.outcome, Outcome.UNKNOWN)
    }
  })

  it('is answered with an unspecified state while that instance is unreachable', () => {
    const fixture = fixtureWith()
    fixture.members({ instance: SELF }, { instance: 'a2', alive: false })
    assert.equal(fixture.reply(fixture.query(REMOTE_JOB))?.state, JobState.UNSPECIFIED)
  })

  it('is dropped when the caller disconnects', () => {
    const fixture = fixtureWith()
    const request = fixture.query(REMOTE_JOB)
    fixture.callerGone(request)
    jobReply(fixture, 'a2', done)
    assert.deepEqual(fixture.replies(request), [])
  })
})

describe('a query forwarded by another instance', () => {
  it('gets one reply, even if it was sent twice', () => {
    const fixture = fixtureWith()
    const jobId = asyncJob(fixture)
    const value = create(JobQuerySchema, { requestId: 'f1', jobId, caller: 'desk', wait: true })
    const message = { case: 'jobQuery', value } as const
    fixture.step({ kind: CoordinatorEventKind.Message, from: 'a2', message })
    fixture.step({ kind: CoordinatorEventKind.Message, from: 'a2', message })
    fixture.report(SELF, jobId, succeeded(0))
    const replies = fixture.sent('jobReply')
    assert.equal(replies.length, 1)
    assert.equal(replies[0]?.to, 'a2')
    assert.equal(replies[0].value.answer?.state, JobState.SUCCEEDED)
  })
})
