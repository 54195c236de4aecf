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

describe('a request at an entry', () => {
  it('goes to the leader and comes back with its verdict', () => {
    const relay = new JobRelay()
    relay.step(0, leader('a', 1))
    assert.deepEqual(sentTo(relay.step(1, submit)), ['a'])
    assert.deepEqual(verdicts(relay.step(50, outcome('a', JobVerdict.COMPLETED))), [
      JobVerdict.COMPLETED,
    ])
    assert.equal(relay.openRequests, 0)
  })

  it('ends at once when no next leader can be found, as unknown if the last one had it', () => {
    const relay = new JobRelay()
    relay.step(0, leader('a', 1))
    relay.step(1, submit)
    relay.step(10, leader('', 1))
    const out = { kind: RelayEventKind.NoLeaderInReach } as const
    assert.deepEqual(verdicts(relay.step(210, out)), [JobVerdict.UNKNOWN])
    relay.step(211, { ...submit, requestId: '2' })
    assert.deepEqual(verdicts(relay.step(212, out)), [JobVerdict.REFUSED])
    assert.equal(relay.openRequests, 0)
  })

  it('is told to the next leader when it ended as unknown: its caller may send it again', () => {
    const relay = new JobRelay()
    relay.step(0, leader('a', 1))
    relay.step(1, submit)
    relay.step(10, outcome('a', JobVerdict.UNKNOWN))
    assert.deepEqual(unansweredJobs(relay.step(20, leader('b', 2))), ['j'])
    // One that is lost too soon has found out nothing.
    relay.step(1_000, leader('', 2))
    assert.deepEqual(unansweredJobs(relay.step(1_500, leader('c', 3))), ['j'])
    const { takeOverMs } = defaultRelayTiming
    assert.deepEqual(unansweredJobs(relay.step(1_500 + takeOverMs, leader('d', 4))), [])
  })

  it('is not told to the next leader when it was refused, or is done', () => {
    for (const verdict of [JobVerdict.REFUSED, JobVerdict.COMPLETED]) {
      const relay = new JobRelay()
      relay.step(0, leader('a', 1))
      relay.step(1, submit)
      relay.step(10, outcome('a', verdict))
      assert.deepEqual(unansweredJobs(relay.step(20, leader('b', 2))), [])
    }
  })

  it('stays with a leader that was found meanwhile', () => {
    const relay = new JobRelay()
    relay.step(0, leader('a', 1))
    relay.step(1, submit)
    relay.step(10, leader('', 1))
    relay.step(200, leader('b', 2))
    assert.deepEqual(verdicts(relay.step(210, { kind: RelayEventKind.NoLeaderInReach })), [])
    assert.equal(relay.openRequests, 1)
  })

  it('is refused as not run soon after no leader is found', () => {
    const relay = new JobRelay()
    relay.step(0, submit)
    const { shortWaitMs } = defaultRelayTiming
    assert.deepEqual(verdicts(relay.tick(shortWaitMs - 1)), [])
    assert.deepEqual(verdicts(relay.tick(shortWaitMs)), [JobVerdict.REFUSED])
  })

  it('waits a little longer when the leader was lost just now: another may take over', () => {
    const relay = new JobRelay()
    relay.step(0, leader('a', 1))
    relay.step(5, leader('', 1))
    relay.step(10, submit)
    const { leaderlessMs } = defaultRelayTiming
    assert.deepEqual(verdicts(relay.tick(5 + leaderlessMs - 1)), [])
    assert.deepEqual(verdicts(relay.tick(5 + leaderlessMs)), [JobVerdict.REFUSED])
  })

  it('ends as unknown when its leader is lost and no other comes', () => {
    const relay = new JobRelay()
    relay.step(0, leader('a', 1))
    relay.step(1, submit)
    relay.step(100, leader('', 1))
    const { lostLeaderMs } = defaultRelayTiming
    assert.deepEqual(verdicts(relay.tick(100 + lostLeaderMs - 1)), [])
    assert.deepEqual(verdicts(relay.tick(100 + lostLeaderMs)), [JobVerdict.UNKNOWN])
  })

  it('goes to the next leader, which is told that an earlier one had it', () => {
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

  it('is never called not run once a lost leader had it', () => {
    const relay = new JobRelay()
    relay.step(0, leader('a', 1))
    relay.step(1, submit)
    relay.step(100, leader('b', 2))
    assert.deepEqual(verdicts(relay.step(120, outcome('b', JobVerdict.REFUSED))), [
      JobVerdict.UNKNOWN,
    ])
  })

  it('counts an instance that does not lead as one that never had it', () => {
    const relay = new JobRelay()
    relay.step(0, leader('a', 1))
    relay.step(1, submit)
    relay.step(10, outcome('a', JobVerdict.NOT_LEADER))
    relay.step(20, leader('b', 2))
    assert.deepEqual(verdicts(relay.step(120, outcome('b', JobVerdict.REFUSED))), [
      JobVerdict.REFUSED,
    ])
  })

  it('is not called not run by a later process of the leader that was lost with it', () => {
    const relay = new JobRelay()
    relay.step(0, leader('a', 1))
    relay.step(1, submit)
    relay.step(100, leader('', 1))
    const said = relay.step(300, outcome('a', JobVerdict.NOT_LEADER))
    const { lostLeaderMs } = defaultRelayTiming
    const ended = relay.tick(100 + lostLeaderMs)
    assert.deepEqual(verdicts([...said, ...ended]), [JobVerdict.UNKNOWN])
  })

  it('tells the next leader of the lost one, whatever a later process of that one says', () => {
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

  it('is not said to have no route once a lost leader had it', () => {
    const relay = new JobRelay()
    relay.step(0, leader('a', 1))
    relay.step(1, submit)
    relay.step(100, leader('b', 2))
    assert.deepEqual(verdicts(relay.step(120, outcome('b', JobVerdict.NO_ROUTE))), [
      JobVerdict.UNKNOWN,
    ])
  })

  it('ends as unknown before its caller leaves', () => {
    const relay = new JobRelay()
    relay.step(0, leader('a', 1))
    relay.step(1, submit)
    assert.deepEqual(verdicts(relay.tick(1_500)), [JobVerdict.UNKNOWN])
  })

  it('is withdrawn at the leader when its caller leaves', () => {
    const relay = new JobRelay()
    relay.step(0, leader('a', 1))
    relay.step(1, submit)
    const actions = relay.step(9, { kind: RelayEventKind.Abandon, requestId: '1' })
    assert.deepEqual(sentTo(actions), ['a'])
    assert.equal(relay.openRequests, 0)
  })
})
