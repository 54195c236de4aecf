import assert from 'node:assert/strict'
import { it } from 'node:test'
import type { JobRequest } from '../caller/JobRequest'
import { CallerLedger, CallerOutcome } from '../ledger/CallerLedger'
import { compareToIdeal } from './compareToIdeal'

function makeJob(submission: string, runMs: number): JobRequest {
  const tasks = [{ service: 'trace', token: submission, runMs }]
  const base = { caller: 'desk', key: '', idempotent: true, deadlineMs: 1000, arrivalMs: 0 }
  return { submission, ...base, tasks }
}

function tell(ledger: CallerLedger, submission: string, outcome: CallerOutcome, ms: number): void {
  const ids = { submission, caller: 'desk', key: '', idempotent: true, tokens: [submission] }
  const times = { attempt: 1, instance: 'i1', dueAt: 0, sentAt: 0, endedAt: ms }
  const told = { outcome, status: 0, jobId: '', detail: '', retryAfterMs: 0, outputs: [] }
  ledger.recordAttempt({ ...ids, ...times, ...told })
}

it('leaves refused jobs out of the ideal, and counts all attempts of the answered', () => {
  const ledger = new CallerLedger()
  tell(ledger, 'refused', CallerOutcome.NotRun, 1)
  tell(ledger, 'answered', CallerOutcome.Broken, 40)
  tell(ledger, 'answered', CallerOutcome.Answered, 300)
  const jobs = [makeJob('refused', 50), makeJob('answered', 100)]
  const [only, ...others] = compareToIdeal(jobs, ledger, { slots: new Map([['trace', 1]]) })
  assert.equal(others.length, 0)
  assert.deepEqual([only?.submission, only?.idealMs, only?.ratio], ['answered', 100, 3])
})
