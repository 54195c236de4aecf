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
const whole = fc.nat(2 ** 31)
const time = fc.double({ min: 0, max: 1e12, noNaN: true }).map((value) => value + 0)

const order = fc.record({
  id: whole,
  endpoint: text,
  address: text,
  fencingToken: whole,
  timeoutMs: whole,
  order: fc.oneof(
    fc.record({ acknowledgedEnd: whole, waitMs: whole }).map((value) => {
      return { case: 'hold' as const, value }
    }),
    fc.record({ leaseEndsAt: time, acknowledgedEnd: whole, waitMs: whole }).map((value) => {
      return { case: 'hold' as const, value }
    }),
    fc.record({ task: text, run: whole, payload: text, orderEndsAt: time }).map((value) => {
      return { case: 'start' as const, value }
    }),
    fc.record({ task: text, run: whole }).map((value) => ({ case: 'stop' as const, value })),
  ),
})

const answer = fc.record({
  id: whole,
  answer: fc.oneof(
    fc
      .record({
        clockMs: time,
        running: fc.array(fc.record({ task: text, run: whole }), { maxLength: 3 }),
        ended: fc.array(
          fc.record({
            task: text,
            run: whole,
            position: whole,
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
  earlierAttempts: whole,
  spec: fc.record({
    jobId: text,
    payload: text,
    steps: fc.array(
      fc.record({
        count: whole,
        needs: fc.record({ cpuMillis: whole, memoryMb: whole, gpus: whole }),
        estimateMs: time,
        dependsOn: fc.array(whole, { maxLength: 2 }),
        requiredLabel: text,
        dataRack: text,
        maxPerEndpoint: whole,
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
  pending: whole,
  term: whole,
})

function isReadAsWritten(body: EnvelopeBody): void {
  const written = encodeText(body)
  assert.ok(written !== undefined)
  assert.deepEqual(decodeText(written), body)
}

describe('the text of the messages that are sent most', () => {
  it('holds orders as they were', () => {
    fc.assert(
      fc.property(fc.array(order, { maxLength: 6 }), time, (orders, sentMs) => {
        const value = create(EndpointOrdersSchema, { orders, sentMs })
        isReadAsWritten({ case: 'endpointOrders', value })
      }),
    )
  })

  it('holds answers as they were', () => {
    fc.assert(
      fc.property(fc.array(answer, { maxLength: 6 }), whole, (answers, forBoot) => {
        const value = create(EndpointAnswersSchema, { answers, forBoot })
        isReadAsWritten({ case: 'endpointAnswers', value })
      }),
    )
  })

  it('holds jobs and their outcomes as they were', () => {
    fc.assert(
      fc.property(submit, outcome, (job, told) => {
        isReadAsWritten({ case: 'submitJob', value: create(SubmitJobSchema, job) })
        isReadAsWritten({ case: 'jobOutcome', value: create(JobOutcomeSchema, told) })
      }),
    )
  })

  it('names a payload once that several orders share', () => {
    const start = (task: string) => ({
      order: { case: 'start' as const, value: { task, run: 1, payload: 'shared payload' } },
    })
    const value = create(EndpointOrdersSchema, { orders: [start('a'), start('b')] })
    const written = encodeText({ case: 'endpointOrders', value }) ?? ''
    assert.equal(written.split('shared payload').length, 2)
  })

  it('is left to other messages', () => {
    const { body } = envelope({ case: 'abandonJob', value: { requestId: '1' } })
    assert.equal(encodeText(body), undefined)
  })

  it('of no known kind, or cut off, is refused', () => {
    assert.throws(() => decodeText('[99]'))
    assert.throws(() => decodeText('[1,["a"'))
  })
})
