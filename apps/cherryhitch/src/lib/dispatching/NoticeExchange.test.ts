import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { create } from '@bufbuild/protobuf'
import { DispatchEventKind, DispatchMachine } from '@cherryhitch/dispatch'
import type { DispatchEvent } from '@cherryhitch/dispatch'
import { EndpointNoticeSchema, NoticeState } from '@cherryhitch/protocol'
import type { EndpointNotice, Envelope } from '@cherryhitch/protocol'
import { Effect } from 'effect'
import { NoticeExchange } from './NoticeExchange'

function notice(sequence: number, state: NoticeState, address = '10.0.0.9:80'): EndpointNotice {
  const place = { service: 'tracing', zone: 'z', address }
  return create(EndpointNoticeSchema, {
    endpoint: 'i~1',
    machine: 'i',
    ...place,
    state,
    sequence,
  })
}

/** A leader that has accepted two heartbeats of one endpoint. */
function open() {
  const machine = new DispatchMachine({})
  const sent: Envelope[] = []
  const tell = (event: DispatchEvent): void => {
    machine.step(0, event)
  }
  const exchange = new NoticeExchange({
    instance: 'a',
    boot: 1,
    machine,
    tell,
    send: (_, message) => sent.push(message),
    peers: () => [],
    leader: () => 'a',
    now: () => 0,
    after: () => undefined,
    completeAt: 0,
    followedBefore: () => 0,
  })
  tell({ kind: DispatchEventKind.BecomeLeader, term: 1, table: undefined, drainedZones: new Set() })
  const accept = (one: EndpointNotice): boolean => Effect.runSync(exchange.acceptNotice(one))
  assert.ok(accept(notice(1, NoticeState.SERVING)))
  assert.ok(accept(notice(2, NoticeState.SERVING)))
  return { exchange, accept, sent }
}

/** Whether the leader confirmed the notices that another instance forwarded. */
function isConfirmed(sent: readonly Envelope[]): boolean | undefined {
  const body = sent.at(-1)?.body
  return body?.case === 'endpointNoticesTaken' ? body.value.byLeader : undefined
}

describe('a notice that an endpoint leaves', () => {
  it('is acknowledged when the leader has applied it, and when it is repeated', () => {
    const { accept } = open()
    assert.equal(accept(notice(3, NoticeState.LEAVING)), true)
    assert.equal(accept(notice(3, NoticeState.LEAVING)), true)
    assert.equal(accept(notice(4, NoticeState.GONE)), true)
  })

  it('is not acknowledged when the leader does not apply it', () => {
    const { accept } = open()
    assert.equal(accept(notice(1, NoticeState.LEAVING)), false)
    assert.equal(accept(notice(3, NoticeState.LEAVING, '10.0.0.8:80')), false)
  })

  it('is confirmed to another instance only when the leader has applied it', () => {
    const { exchange, sent } = open()
    const forward = (one: EndpointNotice): boolean | undefined => {
      const lost = { notices: [one], requestId: 'r', lost: [], possible: [] }
      exchange.onNotices('b', { $typeName: 'cherryhitch.v1.EndpointNotices', ...lost })
      return isConfirmed(sent)
    }
    assert.equal(forward(notice(1, NoticeState.LEAVING)), false)
    assert.equal(forward(notice(3, NoticeState.LEAVING)), true)
  })
})
