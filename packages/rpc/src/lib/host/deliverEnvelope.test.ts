import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { create, fromBinary } from '@bufbuild/protobuf'
import { envelope, EnvelopeSchema } from '@cherryhitch/protocol'
import type { Envelope } from '@cherryhitch/protocol'
import { deliverEnvelope } from './deliverEnvelope'
import { newLinkCounters } from './LinkCounters'

/** An envelope whose message has a number that no version uses: field 2047, three bytes long. */
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

describe('an envelope of another version', () => {
  it('is counted and left when its message is not known', () => {
    const { counters, handled } = deliver(fromBinary(EnvelopeSchema, UNKNOWN_MESSAGE))
    assert.equal(counters.unknownMessages, 1)
    assert.equal(counters.handlerErrors, 0)
    assert.deepEqual(handled, [])
  })

  it('is counted and left when it is empty', () => {
    assert.equal(deliver(create(EnvelopeSchema)).counters.unknownMessages, 1)
  })

  it('is handed over when its message is known', () => {
    const message = envelope({ case: 'abandonJob', value: { requestId: 'r' } })
    const { counters, handled } = deliver(message)
    assert.equal(counters.unknownMessages, 0)
    assert.deepEqual(handled, [message])
  })
})
