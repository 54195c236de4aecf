import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { fromBinary, toBinary } from '@bufbuild/protobuf'
import { DispatchEventKind } from '@cherryhitch/dispatch'
import type { DispatchEvent, Dispatcher } from '@cherryhitch/dispatch'
import { envelope, EnvelopeSchema } from '@cherryhitch/protocol'
import { DispatchParts } from './DispatchParts'

const hints = envelope({ case: 'leaderHints', value: { version: 1, term: 3 } })
/** Encoded tags of `leader_hints` and of a field that no build knows. */
const HINTS_TAG = [0xca, 0x04]
const UNKNOWN_TAG = [0x9a, 0x06]

/** The parts of an instance, and the events that its dispatcher is told. */
function open() {
  const told: DispatchEvent[] = []
  const parts = new DispatchParts()
  const dispatcher: Pick<Dispatcher, 'tell'> = { tell: (event) => told.push(event) }
  parts.dispatcher.bind(dispatcher as Dispatcher)
  return { parts, told }
}

describe('a message of what a leader has learnt', () => {
  it('reaches the dispatcher', () => {
    const { parts, told } = open()
    parts.receive('b', 1, fromBinary(EnvelopeSchema, toBinary(EnvelopeSchema, hints)))
    assert.deepEqual(
      told.map(({ kind }) => kind),
      [DispatchEventKind.LeaderHints],
    )
  })

  it('is ignored by a build that does not know it, as are all unknown messages', () => {
    const { parts, told } = open()
    const bytes = toBinary(EnvelopeSchema, hints)
    assert.deepEqual([...bytes.subarray(0, 2)], HINTS_TAG)
    bytes.set(UNKNOWN_TAG)
    const received = fromBinary(EnvelopeSchema, bytes)
    assert.equal(received.body.case, undefined)
    parts.receive('b', 1, received)
    assert.deepEqual(told, [])
  })
})
