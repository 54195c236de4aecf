import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { create } from '@bufbuild/protobuf'
import fc from 'fast-check'
import { envelope } from '../envelope'
import type { EnvelopeBody } from '../envelope'
import {
  EndpointAnswersSchema,
  EndpointOrdersSchema,
  HoldFailure,
  JobOutcomeSchema,
  JobVerdict,
  ListedEnd,
  StartResult,
  SubmitJobSchema,
} from '../gen/cherryhitch/v1/dispatch_pb'
import { decodeText, encodeText } from './textCodec'

const text = fc.string({ maxLength: 12 })
const integer = fc.nat(2 ** 31)
const time = fc.double({ min: 0, max: 1e12, noNaN: true }).map((value) => value + 0)

const order = fc.record({
  id: integer,
  endpoint: text,
  address: text,
  fencingToken: integer,
  timeoutMs: integer,
  order: fc.oneof(
    fc.record({ acknowledgedEnd: integer, waitMs: integer }).map((value) => {
      return { case: 'hold' as const, value }
    }),
    fc.record({ leaseEndsAt: time, acknowledgedEnd: integer, waitMs: integer }).map((value) => {
      return { case: 'hold' as const, value }
    }),
    fc.record({ task: text, run: integer, payload: text, orderEndsAt: time }).map((value) => {
      return { case: 'start' as const, value }
    }),
    fc.record({ task: text, run: integer }).map((value) => ({ case: 'stop' as const, value })),
  ),
})

const answer = fc.record({
  id: integer,
  answer: fc.oneof(
    fc
      .record({
        clockMs: time,
        running: fc.array(fc.record({ task: text, run: integer }), { maxLength: 3 }),
        ended: fc.array(
          fc.record({
            task: text,
            run: integer,
            position: integer,
            end: fc.constantFrom(ListedEnd.DONE, ListedEnd.FAILED, ListedEnd.STOPPED),
          }),
          { maxLength: 3 },
        ),
      })
      .map((value) => ({ case: 'report' as const, value })),
    fc.record({ failure: fc.constant(HoldFailure.REPLACED), detail: text }).map((value) => {
      return { case: 'fault' as const, value }
    }),
    fc.constantFrom(StartResult.RUNS, StartResult.UNKNOWN).map((value) => {
      return { case: 'started' as const, value }
    }),
    fc.boolean().map((value) => ({ case: 'stopped' as const, value })),
  ),
})

const submit = fc.record({
  requestId: text,
  host: text,
  path: text,
  remainingMs: time,
  waitedMs: time,
  earlierAttempts: integer,
  spec: fc.record({
    jobId: text,
    payload: text,
    steps: fc.array(
      fc.record({
        count: integer,
        needs: fc.record({ cpuMillis: integer, memoryMb: integer, gpus: integer }),
        estimateMs: time,
        dependsOn: fc.array(integer, { maxLength: 2 }),
        requiredLabel: text,
        dataRack: text,
        maxPerEndpoint: integer,
      }),
      { minLength: 1, maxLength: 3 },
    ),
  }),
})

const outcome = fc.record({
  requestId: text,
  verdict: fc.constantFrom(JobVerdict.COMPLETED, JobVerdict.REFUSED),
  reason: text,
  retryAfterMs: time,
  pending: integer,
  term: integer,
  routingVersion: integer,
})

function assertRoundTrip(body: EnvelopeBody): void {
  const encoded = encodeText(body)
  assert.ok(encoded !== undefined)
  assert.deepEqual(decodeText(encoded), body)
}

describe('the text codec', () => {
  it('preserves orders', () => {
    fc.assert(
      fc.property(fc.array(order, { maxLength: 6 }), time, (orders, sentMs) => {
        const value = create(EndpointOrdersSchema, { orders, sentMs })
        assertRoundTrip({ case: 'endpointOrders', value })
      }),
    )
  })

  it('preserves answers', () => {
    fc.assert(
      fc.property(fc.array(answer, { maxLength: 6 }), integer, (answers, forBoot) => {
        const value = create(EndpointAnswersSchema, { answers, forBoot })
        assertRoundTrip({ case: 'endpointAnswers', value })
      }),
    )
  })

  it('preserves jobs and their outcomes', () => {
    fc.assert(
      fc.property(submit, outcome, (job, jobOutcome) => {
        assertRoundTrip({ case: 'submitJob', value: create(SubmitJobSchema, job) })
        assertRoundTrip({ case: 'jobOutcome', value: create(JobOutcomeSchema, jobOutcome) })
      }),
    )
  })

  it('contains a payload that several orders share only once', () => {
    const start = (task: string) => ({
      order: { case: 'start' as const, value: { task, run: 1, payload: 'shared payload' } },
    })
    const value = create(EndpointOrdersSchema, { orders: [start('a'), start('b')] })
    const encoded = encodeText({ case: 'endpointOrders', value }) ?? ''
    assert.equal(encoded.split('shared payload').length, 2)
  })

  it('does not encode other messages', () => {
    const { body } = envelope({ case: 'abandonJob', value: { requestId: '1' } })
    assert.equal(encodeText(body), undefined)
  })

  it('rejects texts that are of unknown kind or truncated', () => {
    assert.throws(() => decodeText('[99]'))
    assert.throws(() => decodeText('[1,["a"'))
  })
})
