import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { create } from '@bufbuild/protobuf'
import { JobOutcomeSchema, JobVerdict, SteppedJobSchema } from '@cherryhitch/protocol'
import { defaultRelayTiming, JobRelay, RelayActionKind, RelayEventKind } from './JobRelay'
import type { RelayAction, RelayEvent } from './JobRelay'

const spec = create(SteppedJobSchema, { jobId: 'j' })
const submit: RelayEvent = {
  kind: RelayEventKind.Submit,
  requestId: '1',
  spec,
  host: 'h',
  path: '/p/j',
  receivedAt: 0,
  deadlineAt: 1_500,
}
const leader = (name: string, term: number): RelayEvent => {
  return { kind: RelayEventKind.Leader, leader: name, term }
}
const outcome = (from: string, verdict: JobVerdict): RelayEvent => {
  const told = create(JobOutcomeSchema, { requestId: '1', verdict })
  return { kind: RelayEventKind.Outcome, from, outcome: told }
}

function sentTo(actions: readonly RelayAction[]): string[] {
  return actions.flatMap((action) => (action.kind === RelayActionKind.Send ? action.to : []))
}

function verdicts(actions: readonly RelayAction[]): JobVerdict[] {
  return actions.flatMap((action) => {
    return action.kind === RelayActionKind.Answer ? action.outcome.verdict : []
  })
}

function unansweredJobs(actions: readonly RelayAction[]): string[] {
  return actions.flatMap((action) => {
    if (action.kind !== RelayActionKind.Send) return []
    const { body } = action.envelope
    return body.case === 'unansweredJobs' ? body.value.jobs.map(({ jobId }) => jobId) : []
  })
}

describe('a relayed request', () => {
  it('is sent to the leader and answered with its verdict', () => {
    const relay = new JobRelay()
    relay.step(0, leader('a', 1))
    assert.deepEqual(sentTo(relay.step(1, submit)), ['a'])
    assert.deepEqual(verdicts(relay.step(50, outcome('a', JobVerdict.COMPLETED))), [
      JobVerdict.COMPLETED,
    ])
    assert.equal(relay.openRequests, 0)
  })

  it('ends immediately if no majority is reachable, as unknown if a leader had it', () => {
    const relay = new JobRelay()
    relay.step(0, leader('a', 1))
    relay.step(1, submit)
    relay.step(10, leader('', 1))
    const unreachable = { kind: RelayEventKind.QuorumUnreachable } as const
    assert.deepEqual(verdicts(relay.step(210, unreachable)), [JobVerdict.UNKNOWN])
    relay.step(211, { ...submit, requestId: '2' })
    assert.deepEqual(verdicts(relay.step(212, unreachable)), [JobVerdict.REFUSED])
    assert.equal(relay.openRequests, 0)
  })

  it('is reported to the next leader if it ended as unknown, since its caller may retry it', () => {
    const relay = new JobRelay()
    relay.step(0, leader('a', 1))
    relay.step(1, submit)
    relay.step(10, outcome('a', JobVerdict.UNKNOWN))
    assert.deepEqual(unansweredJobs(relay.step(20, leader('b', 2))), ['j'])
    // A leader that is lost this early has not determined the outcome.
    relay.step(1_000, leader('', 2))
    assert.deepEqual(unansweredJobs(relay.step(1_500, leader('c', 3))), ['j'])
    const { takeoverMs } = defaultRelayTiming
    assert.deepEqual(unansweredJobs(relay.step(1_500 + takeoverMs, leader('d', 4))), [])
  })

  it('is not reported to the next leader if it was refused or completed', () => {
    for (const verdict of [JobVerdict.REFUSED, JobVerdict.COMPLETED]) {
      const relay = new JobRelay()
      relay.step(0, leader('a', 1))
      relay.step(1, submit)
      relay.step(10, outcome('a', verdict))
      assert.deepEqual(unansweredJobs(relay.step(20, leader('b', 2))), [])
    }
  })

  it('stays open if a new leader was found in the meantime', () => {
    const relay = new JobRelay()
    relay.step(0, leader('a', 1))
    relay.step(1, submit)
    relay.step(10, leader('', 1))
    relay.step(200, leader('b', 2))
    assert.deepEqual(verdicts(relay.step(210, { kind: RelayEventKind.QuorumUnreachable })), [])
    assert.equal(relay.openRequests, 1)
  })

  it('is refused as not run after a short wait without a leader', () => {
    const relay = new JobRelay()
    relay.step(0, submit)
    const { minLeaderWaitMs } = defaultRelayTiming
    assert.deepEqual(verdicts(relay.tick(minLeaderWaitMs - 1)), [])
    assert.deepEqual(verdicts(relay.tick(minLeaderWaitMs)), [JobVerdict.REFUSED])
  })

  it('waits longer if the leader was lost just before, since another may take over', () => {
    const relay = new JobRelay()
    relay.step(0, leader('a', 1))
    relay.step(5, leader('', 1))
    relay.step(10, submit)
    const { leaderlessTimeoutMs } = defaultRelayTiming
    assert.deepEqual(verdicts(relay.tick(5 + leaderlessTimeoutMs - 1)), [])
    assert.deepEqual(verdicts(relay.tick(5 + leaderlessTimeoutMs)), [JobVerdict.REFUSED])
  })

  it('ends as unknown if its leader is lost and there is no new one', () => {
    const relay = new JobRelay()
    relay.step(0, leader('a', 1))
    relay.step(1, submit)
    relay.step(100, leader('', 1))
    const { lostLeaderTimeoutMs } = defaultRelayTiming
    assert.deepEqual(verdicts(relay.tick(100 + lostLeaderTimeoutMs - 1)), [])
    assert.deepEqual(verdicts(relay.tick(100 + lostLeaderTimeoutMs)), [JobVerdict.UNKNOWN])
  })

  it('is sent to the next leader with the number of earlier attempts', () => {
    const relay = new JobRelay()
    relay.step(0, leader('a', 1))
    relay.step(1, submit)
    const actions = relay.step(100, leader('b', 2))
    assert.deepEqual(sentTo(actions), ['b'])
    const [action] = actions
    assert.equal(action?.kind, RelayActionKind.Send)
    const { body } = action.envelope
    assert.equal(body.case === 'submitJob' && body.value.earlierAttempts, 1)
  })

  it('is not refused once a lost leader had it', () => {
    const relay = new JobRelay()
    relay.step(0, leader('a', 1))
    relay.step(1, submit)
    relay.step(100, leader('b', 2))
    assert.deepEqual(verdicts(relay.step(120, outcome('b', JobVerdict.REFUSED))), [
      JobVerdict.UNKNOWN,
    ])
  })

  it('does not count an instance that is not the leader as an attempt', () => {
    const relay = new JobRelay()
    relay.step(0, leader('a', 1))
    relay.step(1, submit)
    relay.step(10, outcome('a', JobVerdict.NOT_LEADER))
    relay.step(20, leader('b', 2))
    assert.deepEqual(verdicts(relay.step(120, outcome('b', JobVerdict.REFUSED))), [
      JobVerdict.REFUSED,
    ])
  })

  it('is not refused because of an answer from a later process of its lost leader', () => {
    const relay = new JobRelay()
    relay.step(0, leader('a', 1))
    relay.step(1, submit)
    relay.step(100, leader('', 1))
    const answered = relay.step(300, outcome('a', JobVerdict.NOT_LEADER))
    const { lostLeaderTimeoutMs } = defaultRelayTiming
    const ended = relay.tick(100 + lostLeaderTimeoutMs)
    assert.deepEqual(verdicts([...answered, ...ended]), [JobVerdict.UNKNOWN])
  })

  it('counts a lost leader as an attempt, whatever a later process of it answers', () => {
    const relay = new JobRelay()
    relay.step(0, leader('a', 1))
    relay.step(1, submit)
    relay.step(100, leader('', 1))
    relay.step(300, outcome('a', JobVerdict.NOT_LEADER))
    const [action] = relay.step(400, leader('b', 2))
    assert.equal(action?.kind, RelayActionKind.Send)
    const { body } = action.envelope
    assert.equal(body.case === 'submitJob' && body.value.earlierAttempts, 1)
  })

  it('does not end without a route once a lost leader had it', () => {
    const relay = new JobRelay()
    relay.step(0, leader('a', 1))
    relay.step(1, submit)
    relay.step(100, leader('b', 2))
    assert.deepEqual(verdicts(relay.step(120, outcome('b', JobVerdict.NO_ROUTE))), [
      JobVerdict.UNKNOWN,
    ])
  })

  it('ends as unknown no later than its deadline', () => {
    const relay = new JobRelay()
    relay.step(0, leader('a', 1))
    relay.step(1, submit)
    assert.deepEqual(verdicts(relay.tick(1_500)), [JobVerdict.UNKNOWN])
  })

  it('is abandoned at the leader when its caller leaves', () => {
    const relay = new JobRelay()
    relay.step(0, leader('a', 1))
    relay.step(1, submit)
    const actions = relay.step(9, { kind: RelayEventKind.Abandon, requestId: '1' })
    assert.deepEqual(sentTo(actions), ['a'])
    assert.equal(relay.openRequests, 0)
  })
})
