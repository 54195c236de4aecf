import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { create } from '@bufbuild/protobuf'
import { RoutingFault } from '@cherryhitch/platform'
import { RoutingStateSchema, RoutingTableSchema } from '@cherryhitch/protocol'
import type { LogFields, PartLog } from '@cherryhitch/telemetry'
import { compressDocument, describeDocument } from './RoutingDocument'
import { ReadOutcome, RoutingTelemetry } from './RoutingTelemetry'

const DOCUMENT = '{"version":7}'
const FROM = '10.0.0.1:4000'
const { digest } = describeDocument(DOCUMENT)

function open() {
  const lines: (LogFields & { readonly message: string })[] = []
  const add = (message: string, fields: LogFields = {}): void => {
    lines.push({ message, ...fields })
  }
  const log: PartLog = { info: add, warn: add, error: add, debug: add }
  return { telemetry: new RoutingTelemetry(log), lines }
}

function tableOf(version: number) {
  return create(RoutingTableSchema, { version })
}

describe('the telemetry of configurations', () => {
  it('tells an acknowledged version from the one in force, both with the digest as sent', () => {
    const { telemetry, lines } = open()
    const change = { table: tableOf(7), document: DOCUMENT, from: FROM }
    const result = { applied: true, outcome: 'APPLIED', detail: '', ms: 3, commandId: 'c' }
    telemetry.onFinished(change, result)
    const { inForceVersion, acknowledgedVersion, accepted } = telemetry.counters()
    assert.deepEqual([inForceVersion, acknowledgedVersion, accepted], [0, 7, 1])
    const document = compressDocument(DOCUMENT)
    telemetry.onInForce(tableOf(7), create(RoutingStateSchema, { version: 7, document }))
    assert.equal(telemetry.counters().inForceVersion, 7)
    assert.deepEqual([lines[0]?.digest, lines[1]?.digest], [digest, digest])
    assert.deepEqual([lines[0]?.bytes, lines[0]?.from], [DOCUMENT.length, FROM])
  })

  it('counts refusals by the class of their fault, and changes without an answer', () => {
    const { telemetry, lines } = open()
    const reason = 'two routes share h/p/'
    telemetry.onRefused({ fault: RoutingFault.SharedPrefix, reason, document: '{', from: FROM })
    const result = { applied: false, outcome: 'UNKNOWN', detail: '', ms: 3, commandId: 'c' }
    telemetry.onFinished({ table: tableOf(8), document: DOCUMENT, from: FROM }, result)
    const { refused_sharedPrefix, refused_unreadable, unanswered } = telemetry.counters()
    assert.deepEqual([refused_sharedPrefix, refused_unreadable, unanswered], [1, 0, 1])
    assert.equal(telemetry.counters().acknowledgedVersion, 0)
    assert.equal(lines[0]?.fault, RoutingFault.SharedPrefix)
  })

  it('logs repeated reads with the same result once a second, and any other at once', () => {
    const { telemetry, lines } = open()
    const read = { version: 7, document: DOCUMENT, from: FROM, ms: 1 }
    const answered = { ...read, outcome: ReadOutcome.Answered }
    for (const now of [0, 10, 20]) telemetry.onRead(now, answered)
    const unconfirmed = { ...read, outcome: ReadOutcome.Unconfirmed, document: undefined }
    telemetry.onRead(30, unconfirmed)
    telemetry.onRead(1_100, answered)
    assert.deepEqual(
      lines.map(({ outcome, notLogged }) => [outcome, notLogged]),
      [
        ['answered', 0],
        ['unconfirmed', 2],
        ['answered', 0],
      ],
    )
    assert.equal(telemetry.counters().reads_answered, 4)
    assert.equal(telemetry.counters().reads_unconfirmed, 1)
  })
})
