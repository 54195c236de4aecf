import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { create, fromBinary } from '@bufbuild/protobuf'
import { envelope, EnvelopeSchema } from '@cherryhitch/protocol'
import type { Envelope } from '@cherryhitch/protocol'
import { deliverEnvelope } from './deliverEnvelope'
import { newLinkCounters } from './LinkCounters'

/** An encoded envelope with a message in field 2047, which no version uses, of three bytes. */
const UNKNOWN_MESSAGE = Uint8Array.from([0xfa, 0x7f, 3, 1, 2, 3])

function deliver(message: Envelope) {
  const counters = newLinkCounters()
  const handled: Envelope[] = []
  const handlers = {
    onEnvelope: (_from: string, _boot: number, received: Envelope) => {
      handled.push(received)
    },
    onLinkUp: () => undefined,
    onLinkDown: () => undefined,
    onStaleBoot: () => undefined,
    log: () => undefined,
  }
  deliverEnvelope({ handlers, counters }, 'peer', 1, message)
  return { counters, handled }
}

describe('deliverEnvelope', () => {
  it('counts and drops an envelope with an unknown message type', () => {
    const { counters, handled } = deliver(fromBinary(EnvelopeSchema, UNKNOWN_MESSAGE))
    assert.equal(counters.unknownMessages, 1)
    assert.equal(counters.handlerErrors, 0)
    assert.deepEqual(handled, [])
  })

  it('counts and drops an empty envelope', () => {
    assert.equal(deliver(create(EnvelopeSchema)).counters.unknownMessages, 1)
  })

  it('delivers an envelope with a known message type', () => {
    const message = envelope({ case: 'abandonJob', value: { requestId: 'r' } })
    const { counters, handled } = deliver(message)
    assert.equal(counters.unknownMessages, 0)
    assert.deepEqual(handled, [message])
  })
})
