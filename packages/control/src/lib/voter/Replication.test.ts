import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { VoterChangeKind } from '@cherryhitch/protocol'
import { changeVoters } from '../testing/commands'
import { DirectVoter } from '../testing/DirectVoter'

function startLeader(): DirectVoter {
  const voter = new DirectVoter()
  voter.lead()
  return voter
}

function isDistrusted(voter: DirectVoter): boolean {
  return voter.lines.some((line) => line.includes('not counted'))
}

describe('a member that refuses entries behind what it had synced', () => {
  it('is trusted when its answer is older than the one that told of the sync', () => {
    const voter = startLeader()
    const { round, lastIndex } = voter.lastAppendTo('b')
    voter.run(200)
    const later = voter.lastAppendTo('b').round
    voter.appendReply('b', true, lastIndex, round)
    // Both were sent before the leader knew, and were answered in another order.
    voter.appendReply('b', false, lastIndex - 1, later)
    voter.appendReply('b', false, lastIndex - 1, round)
    assert.ok(!isDistrusted(voter))
    assert.equal(voter.machine.commitIndex, lastIndex)
  })

  it('is trusted when it holds entries of an older leader behind that point', () => {
    const voter = startLeader()
    const { round, lastIndex } = voter.lastAppendTo('b')
    voter.run(800)
    const later = voter.lastAppendTo('b').round
    // A late refusal names a higher index, where other entries are; the next question must not.
    voter.appendReply('b', true, lastIndex - 1, round)
    voter.appendReply('b', false, lastIndex + 3, later)
    voter.run(200)
    const asked = voter.lastAppendTo('b')
    assert.ok(asked.lastIndex <= lastIndex, `asked behind ${asked.lastIndex}`)
    voter.appendReply('b', true, lastIndex, asked.round)
    assert.ok(!isDistrusted(voter))
    assert.equal(voter.machine.commitIndex, lastIndex)
  })

  it('is not counted when it was asked after that', () => {
    const voter = startLeader()
    const { round, lastIndex } = voter.lastAppendTo('b')
    voter.appendReply('b', true, lastIndex, round)
    voter.run(200)
    voter.appendReply('b', false, lastIndex - 1, voter.lastAppendTo('b').round)
    assert.ok(isDistrusted(voter))
  })
})

describe('a new leader', () => {
  it('removes nobody before it has heard of a majority of the rest', () => {
    const voter = startLeader()
    const { round, lastIndex } = voter.lastAppendTo('b')
    voter.appendReply('b', true, lastIndex, round)
    // Only `b` was heard, so without it `a` and the silent `c` would be left.
    const command = changeVoters('r', VoterChangeKind.REMOVE, 'b', 'b-test')
    voter.receive('x', { case: 'propose', value: { requestId: '1', command } })
    const [reply] = voter.sent.filter(({ to }) => to === 'x')
    assert.ok(reply?.envelope.body.case === 'proposeReply')
    assert.match(reply.envelope.body.value.answer?.detail ?? '', /no majority/)
    assert.equal(voter.machine.lastIndex, lastIndex)
  })
})

describe('a member that is far behind', () => {
  it('gets a snapshot once, whatever its heartbeats answer meanwhile', () => {
    const voter = startLeader()
    const { round, lastIndex } = voter.lastAppendTo('b')
    voter.appendReply('b', true, lastIndex, round)
    const value = {
      requestId: '1',
      command: changeVoters('add', VoterChangeKind.ADD_LEARNER, 'd', 'd-test'),
    }
    voter.receive('a', { case: 'propose', value })
    voter.run(200)
    voter.appendReply('d', false, -1, voter.lastAppendTo('d').round)
    for (let beat = 0; beat < 4; beat++) {
      voter.run(150)
      voter.appendReply('d', false, -1, voter.lastAppendTo('d').round)
    }
    const snapshots = voter.sent.filter(({ envelope }) => envelope.body.case === 'installSnapshot')
    assert.equal(snapshots.length, 1)
  })
})
