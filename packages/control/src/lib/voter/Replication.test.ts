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

describe('a member that rejects entries that follow those it had synced', () => {
  it('is trusted if the rejected round was sent before its sync was known', () => {
    const voter = startLeader()
    const { round, lastIndex } = voter.lastAppendTo('b')
    voter.run(200)
    const later = voter.lastAppendTo('b').round
    voter.appendReply('b', true, lastIndex, round)
    // Both rounds were sent before the leader knew of the sync, and the replies arrive reordered.
    voter.appendReply('b', false, lastIndex - 1, later)
    voter.appendReply('b', false, lastIndex - 1, round)
    assert.ok(!isDistrusted(voter))
    assert.equal(voter.machine.commitIndex, lastIndex)
  })

  it('is trusted if it holds entries of an older leader after that index', () => {
    const voter = startLeader()
    const { round, lastIndex } = voter.lastAppendTo('b')
    voter.run(800)
    const later = voter.lastAppendTo('b').round
    // A late rejection hints at a higher index, where the member holds entries of another leader.
    // The next message must not start there.
    voter.appendReply('b', true, lastIndex - 1, round)
    voter.appendReply('b', false, lastIndex + 3, later)
    voter.run(200)
    const asked = voter.lastAppendTo('b')
    assert.ok(asked.lastIndex <= lastIndex, `the next message goes up to ${asked.lastIndex}`)
    voter.appendReply('b', true, lastIndex, asked.round)
    assert.ok(!isDistrusted(voter))
    assert.equal(voter.machine.commitIndex, lastIndex)
  })

  it('is not counted if the rejected round was sent after its sync was known', () => {
    const voter = startLeader()
    const { round, lastIndex } = voter.lastAppendTo('b')
    voter.appendReply('b', true, lastIndex, round)
    voter.run(200)
    voter.appendReply('b', false, lastIndex - 1, voter.lastAppendTo('b').round)
    assert.ok(isDistrusted(voter))
  })
})

describe('a new leader', () => {
  it('removes no voter before it has heard from a majority of the remaining set', () => {
    const voter = startLeader()
    const { round, lastIndex } = voter.lastAppendTo('b')
    voter.appendReply('b', true, lastIndex, round)
    // Only `b` has replied, so its removal would leave `a` and the silent `c`.
    const command = changeVoters('r', VoterChangeKind.REMOVE, 'b', 'b-test')
    voter.receive('x', { case: 'propose', value: { requestId: '1', command } })
    const [reply] = voter.sent.filter(({ to }) => to === 'x')
    assert.ok(reply?.envelope.body.case === 'proposeReply')
    assert.match(reply.envelope.body.value.answer?.detail ?? '', /no majority/)
    assert.equal(voter.machine.lastIndex, lastIndex)
  })
})

describe('a member that is far behind', () => {
  it('is sent a snapshot only once, whatever it replies to heartbeats meanwhile', () => {
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
