import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import type { JobAnswer } from '@cherryhitch/protocol'
import { JobState, Outcome, Reason } from '@cherryhitch/protocol'
import { succeeded, unsuccessful } from '../fixtures/FakeServices'
import { answerReply } from './answerReply'
import type { JobProblem } from './answerReply'

function problemFor(reason: Reason, outcome: Outcome, retryAfterMs = 0) {
  const state = outcome === Outcome.NOT_RUN ? JobState.REFUSED : JobState.FAILED
  const reply = answerReply(unsuccessful({ state, reason, outcome, retryAfterMs }))
  return { reply, problem: JSON.parse(reply.body) as JobProblem }
}

describe('answerReply', () => {
  const statuses: readonly (readonly [Reason, number, boolean])[] = [
    [Reason.NEVER_FITS, 422, false],
    [Reason.TOO_LATE, 503, true],
    [Reason.QUEUE_FULL, 503, true],
    [Reason.CALLER_LIMIT, 429, true],
    [Reason.NO_ENDPOINT, 503, true],
    [Reason.DEADLINE_PASSED, 504, false],
    [Reason.CANCELLED, 409, false],
    [Reason.ENDPOINT_REFUSED, 503, true],
    [Reason.ENDPOINT_LOST, 502, false],
    [Reason.OWNER_LOST, 502, false],
    [Reason.COORDINATOR_LOST, 502, false],
    [Reason.NO_QUORUM, 503, true],
    [Reason.SIBLING_FAILED, 502, false],
    [Reason.DRAINING, 503, true],
    [Reason.RETRY_BUDGET, 503, true],
    [Reason.TASK_FAILED, 502, false],
    [Reason.KEY_OUTCOME_UNKNOWN, 409, false],
    [Reason.KEY_REUSED, 422, false],
    [Reason.PRESET_LIMIT, 503, true],
  ]
  for (const [reason, status, mayRetry] of statuses) {
    const name = Reason[reason].toLowerCase()
    it(`gives ${name} the status ${status}${mayRetry ? ' with Retry-After' : ''}`, () => {
      const { reply, problem } = problemFor(reason, Outcome.NOT_RUN)
      assert.equal(reply.status, status)
      assert.equal(problem.reason, name)
      assert.equal(problem.type, `urn:cherryhitch:problem:${name.replaceAll('_', '-')}`)
      assert.equal(reply.headers?.['Retry-After'] !== undefined, mayRetry)
    })
  }

  it('covers every reason', () => {
    const reasons = Object.values(Reason).filter((value) => typeof value === 'number')
    assert.equal(statuses.length, reasons.length - 1)
  })

  it('gives the retry delay exactly in the document and rounded up to seconds in the header', () => {
    const { reply, problem } = problemFor(Reason.QUEUE_FULL, Outcome.NOT_RUN, 350)
    assert.equal(problem.retryAfter, 0.35)
    assert.equal(reply.headers?.['Retry-After'], '1')
    const longer = problemFor(Reason.QUEUE_FULL, Outcome.NOT_RUN, 2001)
    assert.equal(longer.reply.headers?.['Retry-After'], '3')
  })

  it('sends no Retry-After when the job may have run', () => {
    const { reply, problem } = problemFor(Reason.NO_QUORUM, Outcome.UNKNOWN, 500)
    assert.equal(reply.headers?.['Retry-After'], undefined)
    assert.equal(problem.retryAfter, undefined)
    assert.equal(problem.ran, 'unknown')
  })

  it('passes outputs through without changing a digit', () => {
    const outputs = ['{"sum":12345678901234567890.10}', 'null', '"é"']
    assert.ok(answerReply(succeeded(outputs)).body.endsWith(`"outputs":[${outputs.join(',')}]}`))
  })

  for (const output of ['{}', '[]', '""', '-1.5e3', '0', 'true', 'false', 'null']) {
    it(`passes ${output} on`, () => {
      assert.equal(answerReply(succeeded([output])).status, 200)
    })
  }

  const invalid: readonly (readonly [string, JobAnswer])[] = [
    ['an output is missing', { ...succeeded(['1', '2']), tasks: 3 }],
    ['there is one output too many', { ...succeeded(['1', '2']), tasks: 1 }],
    ['there are no outputs', succeeded([])],
    ['an output is empty', succeeded(['1', ''])],
    ['an output is HTML', succeeded(['<html></html>'])],
    ['an output is truncated', succeeded(['{"a":'])],
    ['an output is plain text', succeeded(['no such claim'])],
  ]
  for (const [name, answer] of invalid) {
    it(`answers 500 rather than 200 when ${name}`, () => {
      const reply = answerReply(answer)
      assert.equal(reply.status, 500)
      assert.equal((JSON.parse(reply.body) as JobProblem).ran, 'unknown')
    })
  }
})
