import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { create } from '@bufbuild/protobuf'
import { AlwaysHealthy, SlownessTracker } from '@cherryhitch/policy'
import { EndpointNoticeSchema, makeEndpointCapacity, NoticeState } from '@cherryhitch/protocol'
import type { EndpointNotice } from '@cherryhitch/protocol'
import { defaultDispatchTiming } from '../DispatchOptions'
import { EndpointRegistry } from './EndpointRegistry'

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

function makeRegistry(): EndpointRegistry {
  return new EndpointRegistry(defaultDispatchTiming, new AlwaysHealthy(), new SlownessTracker())
}

describe('the incarnations of a machine', () => {
  it('have independent notice sequences', () => {
    const registry = makeRegistry()
    registry.applyNotice(0, notice('i~1', 48))
    const next = registry.applyNotice(1, notice('i~2', 1))
    assert.ok(registry.applyNotice(2, notice('i~2', 4, NoticeState.LEAVING)))
    assert.equal(next?.notice.state, NoticeState.LEAVING)
    assert.equal(registry.get('i~1')?.notice.state, NoticeState.SERVING)
  })

  it('get higher incarnation numbers the later they are discovered', () => {
    const registry = makeRegistry()
    const first = registry.applyNotice(0, notice('i~5', 1))
    const second = registry.applyNotice(1, notice('i~3', 1))
    assert.ok(first !== undefined && second !== undefined)
    assert.ok(second.incarnationNumber > first.incarnationNumber)
    registry.raiseIncarnationNumber(first)
    assert.equal(first.incarnationNumber, second.incarnationNumber)
  })

  it('get a higher incarnation number even after the earlier ones were removed', () => {
    const registry = makeRegistry()
    const first = registry.applyNotice(0, notice('i~1', 1))
    assert.ok(first !== undefined)
    registry.remove(first)
    const second = registry.applyNotice(1, notice('i~2', 1))
    assert.ok(second !== undefined && second.incarnationNumber > first.incarnationNumber)
  })

  it('end with a GONE notice that names only the machine, if they have announced LEAVING', () => {
    const registry = makeRegistry()
    registry.applyNotice(0, notice('i~1', 1, NoticeState.LEAVING))
    registry.applyNotice(1, notice('i~2', 1))
    const gone = notice('i', Number.MAX_SAFE_INTEGER, NoticeState.GONE)
    assert.deepEqual(registry.endpointIdsOf(gone), ['i~1'])
  })

  it('are not joined by a notice without an incarnation of its own', () => {
    const registry = makeRegistry()
    registry.applyNotice(0, notice('i~1', 1))
    assert.equal(registry.applyNotice(1, notice('i', 9)), undefined)
    assert.equal(registry.size, 1)
  })

  it('are kept apart when the first notices named no incarnation', () => {
    const registry = makeRegistry()
    const withoutIncarnation = registry.applyNotice(0, notice('i', 9))
    const named = registry.applyNotice(1, notice('i~1', 1))
    assert.ok(withoutIncarnation !== undefined && named !== undefined)
    assert.deepEqual(registry.otherIncarnations(named), [withoutIncarnation])
  })
})
