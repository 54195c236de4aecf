import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { create } from '@bufbuild/protobuf'
import { AlwaysHealthy, SlownessTracker } from '@cherryhitch/policy'
import { EndpointNoticeSchema, makeEndpointCapacity, NoticeState } from '@cherryhitch/protocol'
import type { EndpointNotice } from '@cherryhitch/protocol'
import { defaultDispatchTiming } from '../DispatchOptions'
import { EndpointBook } from './EndpointBook'

function notice(endpoint: string, sequence: number, state = NoticeState.SERVING): EndpointNotice {
  return create(EndpointNoticeSchema, {
    endpoint,
    machine: 'i',
    service: 'tracing',
    address: '10.0.0.9:80',
    zone: 'z',
    state,
    capacity: makeEndpointCapacity(1_000, 10, 0),
    sequence,
  })
}

function open(): EndpointBook {
  return new EndpointBook(defaultDispatchTiming, new AlwaysHealthy(), new SlownessTracker())
}

describe('the lives of a machine', () => {
  it('count their notices each by itself', () => {
    const book = open()
    book.take(0, notice('i~1', 48))
    const next = book.take(1, notice('i~2', 1))
    assert.ok(book.take(2, notice('i~2', 4, NoticeState.LEAVING)))
    assert.equal(next?.notice.state, NoticeState.LEAVING)
    assert.equal(book.get('i~1')?.notice.state, NoticeState.SERVING)
  })

  it('are ordered under higher numbers the later they became known', () => {
    const book = open()
    const first = book.take(0, notice('i~5', 1))
    const second = book.take(1, notice('i~3', 1))
    assert.ok(first !== undefined && second !== undefined)
    assert.ok(second.lifeNumber > first.lifeNumber)
    book.raiseLifeNumber(first)
    assert.equal(first.lifeNumber, second.lifeNumber)
  })

  it('are ordered under a higher number also when those before are forgotten', () => {
    const book = open()
    const first = book.take(0, notice('i~1', 1))
    assert.ok(first !== undefined)
    book.remove(first)
    const second = book.take(1, notice('i~2', 1))
    assert.ok(second !== undefined && second.lifeNumber > first.lifeNumber)
  })

  it('end with a goodbye that names none of them, if they have said that they leave', () => {
    const book = open()
    book.take(0, notice('i~1', 1, NoticeState.LEAVING))
    book.take(1, notice('i~2', 1))
    const goodbye = notice('i', Number.MAX_SAFE_INTEGER, NoticeState.GONE)
    assert.deepEqual(book.namedBy(goodbye), ['i~1'])
  })

  it('are not joined by one without a name of its own', () => {
    const book = open()
    book.take(0, notice('i~1', 1))
    assert.equal(book.take(1, notice('i', 9)), undefined)
    assert.equal(book.size, 1)
  })

  it('are told apart where the first notices named none', () => {
    const book = open()
    const nameless = book.take(0, notice('i', 9))
    const named = book.take(1, notice('i~1', 1))
    assert.ok(nameless !== undefined && named !== undefined)
    assert.deepEqual(book.otherLives(named), [nameless])
  })
})
