import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { create } from '@bufbuild/protobuf'
import { CommandSchema } from '@cherryhitch/protocol'
import { DirectVoter } from '../testing/DirectVoter'
import { VoterRole } from './ControlAction'

const HEARTBEATS_MS = 1_000

/** Voter `a` as the leader of three, with the routing of version 5 committed. */
class ReadLeader extends DirectVoter {
  private reads = 0

  constructor() {
    super()
    this.lead()
    this.confirm('b')
    const value = { version: 5, document: new Uint8Array([5]), atMs: 1 }
    const change = { case: 'putRouting' as const, value }
    const command = create(CommandSchema, { commandId: 'put5', change })
    this.receive('x', { case: 'propose', value: { requestId: 'p', command } })
    this.confirm('b')
  }

  /** Lets a voter answer the newest message that was sent to it. */
  confirm(instance: string): void {
    const { round, lastIndex } = this.lastAppendTo(instance)
    this.appendReply(instance, true, lastIndex, round)
  }

  read(): void {
    const value = { requestId: `read${++this.reads}`, auditFrom: -1, withRouting: true }
    this.receive('x', { case: 'readControl', value })
  }

  /** Versions in the answers to all reads; undefined for one without a majority. */
  answers(): (number | undefined)[] {
    return this.sent.flatMap(({ envelope: { body } }) => {
      if (body.case !== 'readControlReply') return []
      const { ok, routing, requestId } = body.value
      return requestId.startsWith('read') ? [ok ? routing?.version : undefined] : []
    })
  }
}

describe('a read of the routing at a leader whose clock stood still', () => {
  it('is answered once a majority has answered a message that was sent after it', () => {
    const leader = new ReadLeader()
    leader.read()
    assert.deepEqual(leader.answers(), [])
    leader.run(HEARTBEATS_MS)
    leader.confirm('b')
    assert.deepEqual(leader.answers(), [5])
  })

  // The machine was suspended; answers to messages from before were still in its buffers.
  it('is not answered by what a majority answered before the suspension', () => {
    const leader = new ReadLeader()
    leader.run(HEARTBEATS_MS)
    const before = { b: leader.lastAppendTo('b'), c: leader.lastAppendTo('c') }
    leader.read()
    leader.appendReply('b', true, before.b.lastIndex, before.b.round)
    leader.appendReply('c', true, before.c.lastIndex, before.c.round)
    assert.deepEqual(leader.answers(), [])
  })

  it('stays without an answer when the next leader speaks first', () => {
    const leader = new ReadLeader()
    leader.read()
    const term = leader.machine.term + 1
    const value = { term, leaderDiskId: 'b-test', diskId: 'a-test', round: 1 }
    leader.receive('b', { case: 'appendEntries', value })
    assert.equal(leader.machine.role, VoterRole.Follower)
    assert.deepEqual(leader.answers(), [undefined])
  })

  it('stays without an answer when a voter answers it from a later term', () => {
    const leader = new ReadLeader()
    leader.read()
    leader.run(HEARTBEATS_MS)
    const { round } = leader.lastAppendTo('b')
    const term = leader.machine.term + 1
    const value = { term, diskId: 'b-test', accepted: false, matchIndex: -1, round }
    leader.receive('b', { case: 'appendReply', value })
    assert.deepEqual(leader.answers(), [undefined])
  })
})

describe('a read of the routing at a new leader', () => {
  it('waits until an entry of its term is committed, since earlier ones may be missing', () => {
    const leader = new DirectVoter()
    leader.lead()
    const value = { requestId: 'read', auditFrom: -1, withRouting: true }
    leader.receive('x', { case: 'readControl', value })
    leader.run(HEARTBEATS_MS)
    const { round } = leader.lastAppendTo('b')
    leader.appendReply('b', true, 0, round)
    const answered = leader.sent.some(({ envelope: { body } }) => body.case === 'readControlReply')
    assert.equal(answered, false)
  })
})
