import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { create } from '@bufbuild/protobuf'
import type { MessageInitShape } from '@bufbuild/protobuf'
import type { JobSpec } from '@cherryhitch/protocol'
import {
  ForwardJobSchema,
  InstanceState,
  JobReplySchema,
  JobState,
  Outcome,
  Reason,
} from '@cherryhitch/protocol'
import { CoordinatorEventKind } from '../CoordinatorEvent'
import type { MemberInit, SpecInit } from '../fixtures/CoordinatorFixture'
import {
  CoordinatorFixture,
  failed,
  makeSpec,
  SELF,
  succeeded,
} from '../fixtures/CoordinatorFixture'

const keyed = (init: SpecInit = {}): JobSpec => makeSpec({ key: 'k1', idempotent: true, ...init })

function alone(): CoordinatorFixture {
  const fixture = new CoordinatorFixture()
  fixture.members({ instance: SELF })
  return fixture
}

/** This instance is starting and thus no candidate, so it forwards every job it can. */
function withOthers(...others: readonly MemberInit[]): CoordinatorFixture {
  const fixture = new CoordinatorFixture()
  fixture.members({ instance: SELF, state: InstanceState.STARTING, slots: 0 }, ...others)
  return fixture
}

function forwardReply(
  fixture: CoordinatorFixture,
  answer: MessageInitShape<typeof JobReplySchema>['answer'],
): void {
  const last = fixture.sent('forwardJob').at(-1)
  const requestId = last?.value.requestId ?? ''
  const value = create(JobReplySchema, answer === undefined ? { requestId } : { requestId, answer })
  const message = { case: 'jobReply', value } as const
  fixture.step({ kind: CoordinatorEventKind.Message, from: last?.to ?? '', message })
}

function takeForwarded(fixture: CoordinatorFixture, requestId: string, job: JobSpec): void {
  const value = create(ForwardJobSchema, { requestId, job })
  const message = { case: 'forwardJob', value } as const
  fixture.step({ kind: CoordinatorEventKind.Message, from: 'a2', message })
}

describe('a resend of a keyed idempotent job', () => {
  it('joins the running job, and both requests get its answer', () => {
    const fixture = alone()
    const requests = [fixture.submit(keyed()), fixture.submit(keyed({ deadlineInMs: 5000 }))]
    assert.equal(fixture.placed.length, 1)
    fixture.report(SELF, fixture.jobId, succeeded(0))
    const answers = requests.map((request) => fixture.reply(request))
    assert.equal(answers[0]?.state, JobState.SUCCEEDED)
    assert.deepEqual(answers[1], answers[0])
    assert.equal(fixture.machine.counters.keyHits, 1)
  })

  it('gets the kept answer after a success', () => {
    const fixture = alone()
    const first = fixture.submit(keyed())
    fixture.report(SELF, fixture.jobId, succeeded(0))
    assert.deepEqual(fixture.reply(fixture.submit(keyed())), fixture.reply(first))
    assert.equal(fixture.placed.length, 1)
  })

  it('runs the job again after a failure, so that the caller can recover', () => {
    const fixture = alone()
    fixture.submit(keyed())
    fixture.report(SELF, fixture.jobId, failed(0))
    const second = fixture.submit(keyed())
    fixture.report(SELF, fixture.jobId, succeeded(0))
    assert.equal(fixture.placed.length, 2)
    assert.equal(fixture.reply(second)?.state, JobState.SUCCEEDED)
  })

  it('joins the job that continues after the first caller has disconnected', () => {
    const fixture = alone()
    fixture.callerGone(fixture.submit(keyed()))
    assert.equal(fixture.machine.jobsInFlight, 1)
    const again = fixture.submit(keyed())
    fixture.report(SELF, fixture.jobId, succeeded(0))
    assert.equal(fixture.reply(again)?.state, JobState.SUCCEEDED)
    assert.equal(fixture.placed.length, 1)
  })

  it('counts as a separate job if the caller or the key differs', () => {
    const fixture = alone()
    fixture.submit(keyed())
    fixture.submit(keyed({ caller: 'other' }))
    fixture.submit(keyed({ key: 'k2' }))
    assert.equal(fixture.placed.length, 3)
  })

  const changes: readonly SpecInit[] = [{ payload: '{"n":2}' }, { tasks: 2 }, { idempotent: false }]
  for (const change of changes) {
    it(`is refused if its content differs: ${JSON.stringify(change)}`, () => {
      const fixture = alone()
      fixture.submit(keyed())
      const answer = fixture.reply(fixture.submit(keyed(change)))
      assert.equal(answer?.state, JobState.REFUSED)
      assert.equal(answer.reason, Reason.KEY_REUSED)
      assert.equal(answer.outcome, Outcome.NOT_RUN)
      assert.equal(fixture.placed.length, 1)
    })
  }
})

describe('the coordinator of a keyed idempotent job', () => {
  it('is the same one whichever instance gets the job', () => {
    const everybody = ['a1', 'a2', 'b1', 'b2', 'c1']
    for (let key = 0; key < 20; key++) {
      const targets = everybody.map((instance) => {
        const fixture = new CoordinatorFixture({ instance })
        fixture.members(...everybody.map((each) => ({ instance: each })))
        fixture.submit(keyed({ key: `k${key}` }))
        return fixture.sent('forwardJob')[0]?.to ?? instance
      })
      assert.equal(new Set(targets).size, 1)
    }
  })

  it('answers, and its complete answer is returned to the caller', () => {
    const fixture = withOthers({ instance: 'a2' })
    const request = fixture.submit(keyed({ deadlineInMs: 4000 }))
    const [sent] = fixture.sent('forwardJob')
    assert.equal(sent?.to, 'a2')
    assert.equal(sent.value.job?.deadlineInMs, 4000)
    assert.equal(fixture.placed.length, 0)
    forwardReply(fixture, { jobId: 'a2.1.1', state: JobState.SUCCEEDED, outputs: ['1'] })
    assert.deepEqual(fixture.reply(request)?.outputs, ['1'])
  })

  it('gets the job again with the remaining time if it does not reply', () => {
    const fixture = withOthers({ instance: 'a2' })
    fixture.submit(keyed())
    fixture.advance(2020)
    const sent = fixture.sent('forwardJob')
    assert.equal(sent.length, 2)
    assert.equal(sent[1]?.value.requestId, sent[0]?.value.requestId)
    assert.ok((sent[1]?.value.job?.deadlineInMs ?? 0) < 8001)
  })

  it('is another one if the first is draining and refused the job as not run', () => {
    const fixture = withOthers({ instance: 'a2' }, { instance: 'a3' })
    const request = fixture.submit(keyed())
    const first = fixture.sent('forwardJob')[0]?.to
    const refusal = { state: JobState.REFUSED, outcome: Outcome.NOT_RUN, reason: Reason.DRAINING }
    forwardReply(fixture, refusal)
    const second = fixture.sent('forwardJob')[1]?.to
    assert.notEqual(second, first)
    forwardReply(fixture, refusal)
    assert.equal(fixture.placed.length, 1)
    fixture.report(fixture.sent('placeTasks')[0]?.to ?? '', fixture.jobId, succeeded(0))
    assert.equal(fixture.reply(request)?.state, JobState.SUCCEEDED)
  })

  it('leaves the outcome unknown if it restarts before it answers', () => {
    const fixture = withOthers({ instance: 'a2' })
    const request = fixture.submit(keyed())
    fixture.members({ instance: SELF, slots: 0 }, { instance: 'a2', boot: 2 })
    const answer = fixture.reply(request)
    assert.equal(answer?.reason, Reason.COORDINATOR_LOST)
    assert.equal(answer.outcome, Outcome.UNKNOWN)
  })

  it('counts as lost after it has been silent for longer than a lease', () => {
    const fixture = withOthers({ instance: 'a2' })
    const request = fixture.submit(keyed())
    fixture.members({ instance: SELF, slots: 0 }, { instance: 'a2', alive: false })
    fixture.advance(3000)
    assert.deepEqual(fixture.replies(request), [])
    fixture.advance(4000)
    assert.equal(fixture.reply(request)?.reason, Reason.COORDINATOR_LOST)
  })

  it('has until the deadline to answer', () => {
    const fixture = withOthers({ instance: 'a2' })
    const request = fixture.submit(keyed({ deadlineInMs: 500 }))
    fixture.advance(600)
    assert.equal(fixture.reply(request)?.reason, Reason.DEADLINE_PASSED)
    assert.equal(fixture.reply(request)?.outcome, Outcome.UNKNOWN)
  })

  it('runs a forwarded job itself, once, and repeats its answer to a repeated request', () => {
    const fixture = withOthers({ instance: 'a2' })
    takeForwarded(fixture, 'f1', keyed())
    takeForwarded(fixture, 'f1', keyed())
    assert.equal(fixture.placed.length, 1)
    fixture.report('a2', fixture.jobId, failed(0))
    assert.equal(fixture.sent('jobReply').length, 1)
    takeForwarded(fixture, 'f1', keyed())
    assert.equal(fixture.placed.length, 1)
    assert.equal(fixture.sent('jobReply').length, 2)
    takeForwarded(fixture, 'f2', keyed())
    assert.equal(fixture.placed.length, 2)
  })

  it('finishes its running jobs while it drains, and lets resends join them', () => {
    const fixture = alone()
    fixture.submit(keyed())
    fixture.step({ kind: CoordinatorEventKind.Drain })
    const again = fixture.submit(keyed())
    const other = fixture.submit(keyed({ key: 'k2' }))
    fixture.report(SELF, fixture.jobId, succeeded(0))
    assert.equal(fixture.reply(again)?.state, JobState.SUCCEEDED)
    assert.equal(fixture.reply(other)?.reason, Reason.DRAINING)
  })
})
