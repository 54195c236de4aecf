import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { create } from '@bufbuild/protobuf'
import { EndpointNoticeSchema, makeEndpointCapacity, NoticeState } from '@cherryhitch/protocol'
import type { EndpointNotice } from '@cherryhitch/protocol'
import { RunState } from '../runs/Run'
import type { Run } from '../runs/Run'
import { EndpointRecord } from './EndpointRecord'

interface NoticeFields {
  readonly service?: string
  readonly address?: string
  readonly zone?: string
  readonly state?: NoticeState
}

function notice(sequence: number, more: NoticeFields = {}): EndpointNotice {
  return create(EndpointNoticeSchema, {
    endpoint: 'e',
    service: 'tracing',
    address: '10.0.0.9:80',
    zone: 'z',
    state: NoticeState.SERVING,
    capacity: { cpuMillis: 1_000, memoryMb: 10 },
    sequence,
    ...more,
  })
}

const OPTIONS = { drift: 0, roundTrip: { minMs: 25, maxMs: 80 } }

/** Returns a record to which two notices of the endpoint itself were applied. */
function makeConfirmedRecord(): EndpointRecord {
  const record = new EndpointRecord(notice(4), 0, OPTIONS)
  assert.ok(record.applyNotice(1, notice(5)))
  return record
}

describe('the record of an endpoint', () => {
  it('ignores an older notice that arrives late', () => {
    const record = makeConfirmedRecord()
    assert.equal(record.applyNotice(2, notice(4, { state: NoticeState.LEAVING })), false)
    assert.equal(record.notice.state, NoticeState.SERVING)
  })

  it('ignores a sequence number of another writer that the endpoint never reached', () => {
    const record = makeConfirmedRecord()
    assert.equal(record.applyNotice(2, notice(2 ** 52, { state: NoticeState.LEAVING })), false)
    assert.ok(record.applyNotice(3, notice(6)))
  })

  it('is corrected by the endpoint when its first notice came from another writer', () => {
    const record = new EndpointRecord(notice(2 ** 52, { service: 'other' }), 0, OPTIONS)
    assert.ok(record.applyNotice(1, notice(5)))
    assert.equal(record.service, 'tracing')
    assert.ok(record.applyNotice(2, notice(6, { state: NoticeState.LEAVING })))
  })

  it('does not free the capacity of a run that is being stopped', () => {
    const record = makeConfirmedRecord()
    const needs = makeEndpointCapacity(1_000, 10, 0)
    const run = {
      name: 't',
      needs,
      state: RunState.Stopping,
      stopReason: 'its caller is gone',
    } as Run
    record.addRun(run)
    assert.equal(record.freeCapacity().cpuMillis, 0)
    record.removeRun(run)
    assert.equal(record.freeCapacity().cpuMillis, 1_000)
  })

  for (const [what, more] of [
    ['service', { service: 'other' }],
    ['address', { address: '10.0.0.8:80' }],
    ['zone', { zone: 'y' }],
  ] as const) {
    it(`ignores a notice of another writer that changes the ${what}`, () => {
      const record = makeConfirmedRecord()
      assert.equal(record.applyNotice(2, notice(6, more)), false)
      assert.ok(record.applyNotice(3, notice(6)))
    })
  }

  it('stays GONE after a GONE notice, whatever notices follow', () => {
    const record = makeConfirmedRecord()
    const gone = notice(Number.MAX_SAFE_INTEGER, { state: NoticeState.GONE, service: '' })
    assert.ok(record.applyNotice(2, gone))
    assert.equal(record.applyNotice(3, notice(7)), false)
    assert.equal(record.applyNotice(3, gone), false)
    assert.equal(record.service, 'tracing')
  })
})
