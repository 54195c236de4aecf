import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { create, toBinary } from '@bufbuild/protobuf'
import { AppendEntriesSchema, CommandSchema, VoterChangeKind } from '@cherryhitch/protocol'
import { changeVoters } from '../testing/commands'
import { DirectVoter } from '../testing/DirectVoter'
import { defaultVoterLimits } from './VoterOptions'

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

describe('a member that lacks many large entries', () => {
  const ENTRIES = 40
  const ENTRY_BYTES = 100_000
  /** What a message has beside its entries. */
  const HEADER_BYTES = 1_000

  function sentTo(voter: DirectVoter, instance: string) {
    return voter.sent.flatMap(({ to, envelope: { body } }) => {
      return to === instance && body.case === 'appendEntries' ? [body.value] : []
    })
  }

  // Links refuse larger messages, so the same one was sent and refused again and again.
  it('gets all of them, in messages of a bounded size', () => {
    const voter = startLeader()
    for (let version = 1; version <= ENTRIES; version++) {
      const value = { version, document: new Uint8Array(ENTRY_BYTES).fill(version) }
      const change = { case: 'putRouting' as const, value }
      const command = create(CommandSchema, { commandId: `put${version}`, change })
      voter.receive('x', { case: 'propose', value: { requestId: `${version}`, command } })
    }
    let held = 0
    for (let turn = 0; turn < 2 * ENTRIES && held < voter.machine.lastIndex; turn++) {
      const { round, lastIndex } = voter.lastAppendTo('c')
      held = lastIndex
      voter.appendReply('c', true, held, round)
    }
    assert.equal(held, voter.machine.lastIndex)
    const sizes = sentTo(voter, 'c').map((message) => toBinary(AppendEntriesSchema, message).length)
    const bound = defaultVoterLimits.entryBytesPerMessage + HEADER_BYTES
    assert.ok(Math.max(...sizes) <= bound, `${Math.max(...sizes)} bytes`)
  })

  it('gets one that is larger than the bound by itself', () => {
    const voter = startLeader()
    const value = {
      version: 1,
      document: new Uint8Array(defaultVoterLimits.entryBytesPerMessage * 2),
    }
    const change = { case: 'putRouting' as const, value }
    const command = create(CommandSchema, { commandId: 'put', change })
    const { round, lastIndex } = voter.lastAppendTo('c')
    voter.receive('x', { case: 'propose', value: { requestId: 'p', command } })
    voter.appendReply('c', true, lastIndex, round)
    assert.equal(voter.lastAppendTo('c').lastIndex, voter.machine.lastIndex)
  })
})
