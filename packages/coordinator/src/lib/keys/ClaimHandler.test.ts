import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { create, fromBinary, toBinary } from '@bufbuild/protobuf'
import type { JobAnswer, JobSpec } from '@cherryhitch/protocol'
import {
  ClaimState,
  ClaimVerdict,
  JobAnswerSchema,
  JobQuerySchema,
  JobReplySchema,
  JobState,
  Outcome,
  Reason,
} from '@cherryhitch/protocol'
import { CoordinatorActionKind } from '../CoordinatorAction'
import { CoordinatorEventKind } from '../CoordinatorEvent'
import type { SpecInit } from '../fixtures/CoordinatorFixture'
import {
  CoordinatorFixture,
  failed,
  makeSpec,
  notRun,
  SELF,
  succeeded,
} from '../fixtures/CoordinatorFixture'

const notice = (init: SpecInit = {}): JobSpec => makeSpec({ key: 'notice-7', ...init })
const HOLDER = 'a2.1.5'
const granted = { verdict: ClaimVerdict.GRANTED }
const heldRunning = { verdict: ClaimVerdict.HELD, state: ClaimState.CLAIMED, jobId: HOLDER }

function claiming(respondAsync = false): { fixture: CoordinatorFixture; jobId: string } {
  const fixture = new CoordinatorFixture()
  fixture.members({ instance: SELF }, { instance: 'a2', slots: 0 })
  fixture.submit(notice(), respondAsync)
  return { fixture, jobId: claimedIds(fixture).at(-1) ?? '' }
}

function claimedIds(fixture: CoordinatorFixture): readonly string[] {
  return fixture.actionsOf(CoordinatorActionKind.Claim).map(({ claim }) => claim.jobId)
}

/** How claims were ended: the outcome of the stored answer, or that the key was released. */
function ends(fixture: CoordinatorFixture): readonly string[] {
  return fixture.actionsOf(CoordinatorActionKind.EndClaim).map(({ end }) => {
    if (end.answer.length === 0) return `${end.jobId} released`
    return `${end.jobId} ${Outcome[fromBinary(JobAnswerSchema, end.answer).outcome]}`
  })
}

function holderReplies(fixture: CoordinatorFixture, answer: JobAnswer | undefined): void {
  const requestId = fixture.sent('jobQuery').at(-1)?.value.requestId ?? ''
  const value = create(JobReplySchema, answer === undefined ? { requestId } : { requestId, answer })
  const message = { case: 'jobReply', value } as const
  fixture.step({ kind: CoordinatorEventKind.Message, from: 'a2', message })
}

const done = create(JobAnswerSchema, {
  jobId: HOLDER,
  state: JobState.SUCCEEDED,
  outcome: Outcome.SUCCEEDED,
  outputs: ['"billed"'],
})

describe('a non-idempotent job with a key', () => {
  it('is placed only after its claim was granted, and once', () => {
    const { fixture, jobId } = claiming()
    assert.deepEqual(fixture.placed, [])
    fixture.claimAnswered(jobId, granted)
    fixture.claimAnswered(jobId, granted)
    assert.deepEqual(fixture.placed, [`${SELF}:0`])
    fixture.report(SELF, jobId, succeeded(0))
    assert.equal(fixture.reply('r1')?.state, JobState.SUCCEEDED)
    assert.deepEqual(ends(fixture), [`${jobId} SUCCEEDED`])
    fixture.claimAnswered(jobId, granted)
    assert.deepEqual(fixture.placed, [`${SELF}:0`])
    assert.equal(ends(fixture).length, 1)
  })

  it('is joined by resends while its claim is pending, with one claim for all of them', () => {
    const { fixture, jobId } = claiming()
    const again = fixture.submit(notice())
    const later = fixture.submit(notice(), true)
    assert.deepEqual(fixture.replies(later), [])
    fixture.claimAnswered(jobId, granted)
    assert.equal(fixture.reply(later)?.jobId, jobId)
    fixture.report(SELF, jobId, succeeded(0))
    assert.deepEqual(fixture.reply(again), fixture.reply('r1'))
    assert.deepEqual(claimedIds(fixture), [jobId])
  })

  it('is refused without a claim if it is not admitted', () => {
    const fixture = new CoordinatorFixture()
    fixture.step({ kind: CoordinatorEventKind.Drain })
    assert.equal(fixture.reply(fixture.submit(notice()))?.outcome, Outcome.NOT_RUN)
    assert.deepEqual(claimedIds(fixture), [])
  })

  for (const report of [failed(0), succeeded(0)]) {
    it(`is never run again after ${Outcome[report.outcome]}: a resend gets that answer`, () => {
      const { fixture, jobId } = claiming()
      fixture.claimAnswered(jobId, granted)
      fixture.report(SELF, jobId, report)
      const again = fixture.submit(notice())
      assert.deepEqual(fixture.reply(again), fixture.reply('r1'))
      assert.equal(fixture.placed.length, 1)
    })
  }

  it('releases its key if it did not run, so that a resend can run', () => {
    const { fixture, jobId } = claiming()
    fixture.claimAnswered(jobId, granted)
    fixture.report(SELF, jobId, notRun(0, Reason.TOO_LATE))
    assert.equal(fixture.reply('r1')?.outcome, Outcome.NOT_RUN)
    assert.deepEqual(ends(fixture), [`${jobId} released`])
    fixture.submit(notice())
    const [, second] = claimedIds(fixture)
    assert.notEqual(second, jobId)
    fixture.claimAnswered(second ?? '', granted)
    assert.equal(fixture.placed.length, 2)
  })

  it('releases its key if no owner is left when the claim is granted', () => {
    const { fixture, jobId } = claiming()
    fixture.members({ instance: SELF, slots: 0 })
    fixture.claimAnswered(jobId, granted)
    assert.equal(fixture.reply('r1')?.state, JobState.REFUSED)
    assert.deepEqual(ends(fixture), [`${jobId} released`])
  })
})

describe('a claim without an answer', () => {
  const cases = [
    { name: 'that was not committed', mayBeClaimed: false, released: false },
    { name: 'that may still be committed', mayBeClaimed: true, released: true },
  ]
  for (const { name, mayBeClaimed, released } of cases) {
    it(`${name} refuses the job as not run`, () => {
      const { fixture, jobId } = claiming()
      fixture.claimAnswered(jobId, undefined, mayBeClaimed)
      const answer = fixture.reply('r1')
      assert.equal(answer?.state, JobState.REFUSED)
      assert.equal(answer.outcome, Outcome.NOT_RUN)
      assert.equal(answer.reason, Reason.NO_QUORUM)
      assert.ok(answer.retryAfterMs > 0)
      assert.deepEqual(ends(fixture), released ? [`${jobId} released`] : [])
      assert.deepEqual(fixture.placed, [])
    })
  }

  it('that is granted late after all dispatches nothing, and the key is released again', () => {
    const { fixture, jobId } = claiming()
    fixture.claimAnswered(jobId, undefined, true)
    fixture.claimAnswered(jobId, granted)
    assert.deepEqual(fixture.placed, [])
    assert.equal(ends(fixture).length, 2)
  })

  it('is remembered: an instance that finds the claim is told that the job did not run', () => {
    const { fixture, jobId } = claiming()
    fixture.claimAnswered(jobId, undefined, true)
    fixture.advance(400_000)
    const value = create(JobQuerySchema, { requestId: 'f1', jobId, caller: 'desk', wait: true })
    const message = { case: 'jobQuery', value } as const
    fixture.step({ kind: CoordinatorEventKind.Message, from: 'a2', message })
    assert.equal(fixture.sent('jobReply')[0]?.value.answer?.outcome, Outcome.NOT_RUN)
  })

  const endings = [
    {
      name: 'at its deadline',
      state: JobState.FAILED,
      end: (fixture: CoordinatorFixture) => {
        fixture.advance(10_020)
      },
    },
    {
      name: 'when it is cancelled',
      state: JobState.CANCELLED,
      end: (fixture: CoordinatorFixture, jobId: string) => {
        fixture.query(jobId, { cancel: true })
      },
    },
  ]
  for (const { name, state, end } of endings) {
    it(`leaves its job not run for good if the job ends ${name}`, () => {
      const { fixture, jobId } = claiming()
      end(fixture, jobId)
      assert.equal(fixture.reply('r1')?.state, state)
      assert.equal(fixture.reply('r1')?.outcome, Outcome.NOT_RUN)
      fixture.claimAnswered(jobId, granted)
      assert.deepEqual(fixture.placed, [])
      assert.deepEqual(ends(fixture), [`${jobId} released`])
    })
  }
})

describe('a key that is held', () => {
  it('by a job that has ended gives the stored answer of that job', () => {
    const { fixture, jobId } = claiming()
    const answer = toBinary(JobAnswerSchema, done)
    fixture.claimAnswered(jobId, { ...heldRunning, state: ClaimState.ENDED, answer })
    assert.deepEqual(fixture.reply('r1')?.outputs, ['"billed"'])
    assert.deepEqual(fixture.placed, [])
    assert.deepEqual(ends(fixture), [])
  })

  it('by a job at a live coordinator makes the resend wait for that job', () => {
    const { fixture, jobId } = claiming()
    fixture.claimAnswered(jobId, heldRunning)
    const [asked] = fixture.sent('jobQuery')
    assert.equal(asked?.to, 'a2')
    assert.equal(asked.value.jobId, HOLDER)
    assert.equal(asked.value.wait, true)
    holderReplies(fixture, done)
    assert.equal(fixture.reply('r1')?.jobId, HOLDER)
    assert.deepEqual(fixture.placed, [])
  })

  it('by a job at a live coordinator gives its id to an asynchronous request', () => {
    const { fixture, jobId } = claiming(true)
    fixture.claimAnswered(jobId, heldRunning)
    assert.equal(fixture.reply('r1')?.state, JobState.RUNNING)
    assert.equal(fixture.reply('r1')?.jobId, HOLDER)
    assert.equal(fixture.machine.jobsInFlight, 0)
  })

  it('by a job that its live coordinator no longer knows leaves the outcome unknown', () => {
    const { fixture, jobId } = claiming()
    fixture.claimAnswered(jobId, heldRunning)
    holderReplies(fixture, undefined)
    assert.equal(fixture.reply('r1')?.reason, Reason.KEY_OUTCOME_UNKNOWN)
    assert.equal(fixture.reply('r1')?.outcome, Outcome.UNKNOWN)
  })

  it('by a job whose coordinator restarts meanwhile leaves the outcome unknown', () => {
    const { fixture, jobId } = claiming()
    fixture.claimAnswered(jobId, heldRunning)
    fixture.members({ instance: SELF }, { instance: 'a2', boot: 2 })
    assert.equal(fixture.reply('r1')?.reason, Reason.KEY_OUTCOME_UNKNOWN)
    holderReplies(fixture, done)
    assert.equal(fixture.replies('r1').length, 1)
  })

  it('by a job that has not ended at the deadline leaves the outcome unknown', () => {
    const { fixture, jobId } = claiming()
    fixture.claimAnswered(jobId, heldRunning)
    fixture.advance(10_020)
    assert.equal(fixture.reply('r1')?.reason, Reason.DEADLINE_PASSED)
    assert.equal(fixture.reply('r1')?.outcome, Outcome.UNKNOWN)
  })

  const dead = [
    { name: 'an earlier boot of another instance', jobId: 'a2.0.5' },
    { name: 'an unknown instance', jobId: 'z9.1.5' },
    { name: 'an earlier boot of this instance', jobId: `${SELF}.1.5` },
    { name: 'a job of this boot that is no longer known', jobId: `${SELF}.2s.zz` },
  ]
  for (const { name, jobId: holder } of dead) {
    it(`by ${name} is never run again`, () => {
      const { fixture, jobId } = claiming()
      fixture.claimAnswered(jobId, { ...heldRunning, jobId: holder })
      assert.equal(fixture.reply('r1')?.reason, Reason.KEY_OUTCOME_UNKNOWN)
      assert.equal(fixture.reply('r1')?.outcome, Outcome.UNKNOWN)
      assert.deepEqual(fixture.placed, [])
    })
  }

  it('by a running job of this coordinator without a local key entry is joined', () => {
    const fixture = new CoordinatorFixture()
    fixture.members({ instance: SELF })
    const running = fixture.reply(fixture.submit(makeSpec(), true))?.jobId ?? ''
    const request = fixture.submit(notice())
    const jobId = claimedIds(fixture)[0] ?? ''
    fixture.claimAnswered(jobId, { ...heldRunning, jobId: running })
    fixture.report(SELF, running, succeeded(0))
    assert.equal(fixture.reply(request)?.jobId, running)
  })

  const refusals = [
    { verdict: ClaimVerdict.MISMATCH, reason: Reason.KEY_REUSED },
    { verdict: ClaimVerdict.FULL, reason: Reason.QUEUE_FULL },
    { verdict: ClaimVerdict.UNSPECIFIED, reason: Reason.NO_QUORUM },
  ]
  for (const { verdict, reason } of refusals) {
    it(`refuses as not run on ${ClaimVerdict[verdict]}`, () => {
      const { fixture, jobId } = claiming()
      fixture.claimAnswered(jobId, { verdict })
      assert.equal(fixture.reply('r1')?.reason, reason)
      assert.equal(fixture.reply('r1')?.outcome, Outcome.NOT_RUN)
      assert.deepEqual(fixture.placed, [])
    })
  }
})
