import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { create } from '@bufbuild/protobuf'
import type { DispatchEvent } from '@cherryhitch/dispatch'
import { OpenJobsSchema } from '@cherryhitch/protocol'
import { OpenJobsReader } from './OpenJobsReader'

function open() {
  const told: DispatchEvent[] = []
  const asked: string[] = []
  const state = { leader: 'a' }
  const reader = new OpenJobsReader({
    instance: 'b',
    boot: 7,
    leader: () => state.leader,
    tell: (event) => told.push(event),
    send: (to) => asked.push(to),
  })
  const answer = (fromBoot: number): void => {
    reader.onReport('a', create(OpenJobsSchema, { askedAt: 1, fromBoot }))
  }
  return { reader, told, asked, state, answer }
}

describe('the reader of the open jobs of the leader', () => {
  it('asks again once it has an answer', () => {
    const { reader, told, asked, answer } = open()
    reader.tick(0)
    answer(7)
    reader.tick(100)
    assert.equal(told.length, 1)
    assert.deepEqual(asked, ['a', 'a'])
  })

  it('sends no queue of requests to a leader that does not answer', () => {
    const { reader, asked } = open()
    for (let now = 0; now < 1_000; now += 100) reader.tick(now)
    assert.deepEqual(asked, ['a', 'a'])
  })

  it('asks a new leader at once, and none while it leads itself or nobody does', () => {
    const { reader, asked, state } = open()
    reader.tick(0)
    for (const leader of ['c', 'b', '']) {
      state.leader = leader
      reader.tick(100)
    }
    assert.deepEqual(asked, ['a', 'c'])
  })

  it('ignores an answer to an earlier process, whose clock was another', () => {
    const { reader, told, answer } = open()
    reader.tick(0)
    answer(6)
    assert.deepEqual(told, [])
  })
})
