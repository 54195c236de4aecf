import { parseTaskId, groupBy } from '@cherryhitch/model'
import type { CallerAttempt, CallerLedger, Submission } from './CallerLedger'
import { CallerOutcome } from './CallerLedger'
import type { EndpointLedger, TaskRun } from './EndpointLedger'
import { OveruseKind, RunEnd } from './EndpointLedger'

/** The promises that a run is checked against. @public */
export enum Invariant {
  /** A task id started more than once. */
  DoubleStart = 'double_start',
  /** A task of a non-idempotent submission ran more than once, under whatever ids. */
  DoubleRun = 'double_run',
  /** An answer lacks outputs, or has too many. */
  PartialAnswer = 'partial_answer',
  /** An output belongs to another request. */
  ForeignAnswer = 'foreign_answer',
  /** An output of a task that no endpoint completed. */
  AnswerWithoutRun = 'answer_without_run',
  /** The caller was told "not run", yet a task started. */
  RunBehindNotRun = 'run_behind_not_run',
  /** An answer that the interface does not allow. */
  MalformedAnswer = 'malformed_answer',
  SlotOveruse = 'slot_overuse',
  ConnectionOveruse = 'connection_overuse',
  CapacityOveruse = 'capacity_overuse',
  WorkAfterLeaving = 'work_after_leaving',
}

/** @public */
export interface Violation {
  readonly invariant: Invariant
  readonly submission: string
  readonly jobId: string
  readonly taskId: string
  readonly endpoint: string
  readonly detail: string
}

/** @public */
export interface InvariantReport {
  /** True when no promise was seen broken. */
  readonly holds: boolean
  readonly counts: Readonly<Record<Invariant, number>>
  readonly violations: readonly Violation[]
  /** What the report rests on: a run without work holds everything. */
  readonly checked: { readonly attempts: number; readonly runs: number }
}

/** Ledgers of two processes on one machine may differ this much in time. */
const CLOCK_TOLERANCE_MS = 50

const overuseInvariants: Readonly<Record<OveruseKind, Invariant>> = {
  [OveruseKind.Slots]: Invariant.SlotOveruse,
  [OveruseKind.Connections]: Invariant.ConnectionOveruse,
  [OveruseKind.Cores]: Invariant.CapacityOveruse,
  [OveruseKind.Memory]: Invariant.CapacityOveruse,
  [OveruseKind.WorkAfterLeaving]: Invariant.WorkAfterLeaving,
}

function violation(
  invariant: Invariant,
  detail: string,
  ids: Partial<Omit<Violation, 'invariant' | 'detail'>>,
): Violation {
  return { invariant, detail, submission: '', jobId: '', taskId: '', endpoint: '', ...ids }
}

function jobIdOf(taskId: string): string {
  return parseTaskId(taskId)?.jobId ?? taskId.slice(0, taskId.lastIndexOf('.'))
}

/** Compares what endpoints saw with what callers were told. @public */
export function checkLedgers(endpoints: EndpointLedger, callers: CallerLedger): InvariantReport {
  const runsByToken = groupBy(endpoints.runs, (run) => run.token)
  const violations = [
    ...findDoubleStarts(endpoints.runs),
    ...findOveruse(endpoints),
    ...findSlotOveruse(endpoints),
    ...callers.submissions().flatMap((submission) => checkSubmission(submission, runsByToken)),
  ]
  const counts = Object.fromEntries(
    Object.values(Invariant).map((invariant) => [
      invariant,
      violations.filter((found) => found.invariant === invariant).length,
    ]),
  ) as Record<Invariant, number>
  const checked = { attempts: callers.attempts.length, runs: endpoints.runs.length }
  return { holds: violations.length === 0, counts, violations, checked }
}

function findDoubleStarts(runs: readonly TaskRun[]): Violation[] {
  return [...groupBy(runs, (run) => run.taskId)]
    .filter(([, starts]) => starts.length > 1)
    .map(([taskId, starts]) => {
      const where = starts.map((run) => run.endpoint).join(', ')
      return violation(Invariant.DoubleStart, `started at ${where}`, { taskId })
    })
}

function findOveruse(endpoints: EndpointLedger): Violation[] {
  return endpoints.overuses.map(({ kind, endpoint, taskId, found, allowed }) =>
    violation(overuseInvariants[kind], `${kind}: ${found} of ${allowed}`, { endpoint, taskId }),
  )
}

/** Counts runs under way from their times, and so does not trust the endpoint's own count. */
function findSlotOveruse(endpoints: EndpointLedger): Violation[] {
  const found: Violation[] = []
  for (const [endpoint, runs] of groupBy(endpoints.runs, (run) => run.endpoint)) {
    const slots = endpoints.slots.get(endpoint) ?? Infinity
    const peak = peakConcurrency(runs)
    if (peak <= slots) continue
    found.push(violation(Invariant.SlotOveruse, `${peak} runs in ${slots} slots`, { endpoint }))
  }
  return found
}

function peakConcurrency(runs: readonly TaskRun[]): number {
  const steps = runs.flatMap((run) => [
    { at: run.startedAt, change: 1 },
    { at: run.endedAt ?? Infinity, change: -1 },
  ])
  // A slot that is freed and taken at the same instant is one slot.
  steps.sort((a, b) => a.at - b.at || a.change - b.change)
  let busy = 0
  let peak = 0
  for (const { change } of steps) {
    busy += change
    peak = Math.max(peak, busy)
  }
  return peak
}

function checkSubmission(
  submission: Submission,
  runsByToken: ReadonlyMap<string, readonly TaskRun[]>,
): Violation[] {
  const runsOf = (token: string): readonly TaskRun[] => runsByToken.get(token) ?? []
  const found = submission.attempts.flatMap((attempt) => checkAttempt(attempt, runsOf))
  return [
    ...found,
    ...findDoubleRuns(submission, runsOf),
    ...findRunsBehindNotRun(submission, runsOf),
  ]
}

type RunsOf = (token: string) => readonly TaskRun[]

function checkAttempt(attempt: CallerAttempt, runsOf: RunsOf): Violation[] {
  const ids = { submission: attempt.submission, jobId: attempt.jobId }
  if (attempt.outcome === CallerOutcome.Malformed) {
    return [violation(Invariant.MalformedAnswer, `status ${attempt.status}`, ids)]
  }
  if (attempt.outcome !== CallerOutcome.Answered) return []
  return [...checkWholeness(attempt), ...checkOutputs(attempt, runsOf)]
}

function checkWholeness({ outputs, tokens, submission, jobId }: CallerAttempt): Violation[] {
  const given = outputs.filter((output) => output.token !== '').length
  if (given === tokens.length && outputs.length === tokens.length) return []
  const detail = `${given} of ${tokens.length} outputs`
  return [violation(Invariant.PartialAnswer, detail, { submission, jobId })]
}

function checkOutputs(attempt: CallerAttempt, runsOf: RunsOf): Violation[] {
  const { submission, jobId, tokens } = attempt
  return attempt.outputs.flatMap((output, index) => {
    const ids = { submission, jobId, taskId: output.taskId }
    const asked = tokens[index]
    if (output.token === '' || asked === undefined) return []
    if (output.token !== asked) {
      return [violation(Invariant.ForeignAnswer, `${output.token} for ${asked}`, ids)]
    }
    if (jobId !== '' && jobIdOf(output.taskId) !== jobId) {
      return [violation(Invariant.ForeignAnswer, `output of another job`, ids)]
    }
    const completed = runsOf(asked).some(
      (run) => run.taskId === output.taskId && run.end === RunEnd.Succeeded,
    )
    return completed ? [] : [violation(Invariant.AnswerWithoutRun, asked, ids)]
  })
}

function findDoubleRuns({ attempts, submission }: Submission, runsOf: RunsOf): Violation[] {
  const [first] = attempts
  if (first === undefined || first.idempotent) return []
  return first.tokens.flatMap((token) => {
    const runs = runsOf(token)
    if (runs.length <= 1) return []
    const taskIds = runs.map((run) => run.taskId).join(', ')
    const detail = `${token} ran as ${taskIds}`
    return [violation(Invariant.DoubleRun, detail, { submission, taskId: runs[1]?.taskId ?? '' })]
  })
}

/**
 * A start stands behind a "not run" when it bears that attempt's job id, or when no other
 * attempt that was not refused could have caused it.
 */
function findRunsBehindNotRun(submission: Submission, runsOf: RunsOf): Violation[] {
  const refused = submission.attempts.filter(({ outcome }) => outcome === CallerOutcome.NotRun)
  if (refused.length === 0) return []
  const others = submission.attempts.filter(({ outcome }) => mayCauseRuns(outcome))
  const refusedJobs = new Set(refused.map(({ jobId }) => jobId).filter((jobId) => jobId !== ''))
  const runs = (submission.attempts[0]?.tokens ?? []).flatMap(runsOf)
  return runs
    .filter(
      (run) =>
        refusedJobs.has(jobIdOf(run.taskId)) || !others.some((other) => couldCause(other, run)),
    )
    .map(({ taskId, endpoint }) => {
      const jobId = jobIdOf(taskId)
      const ids = { submission: submission.submission, jobId, taskId, endpoint }
      return violation(Invariant.RunBehindNotRun, 'told "not run", yet it started', ids)
    })
}

function mayCauseRuns(outcome: CallerOutcome): boolean {
  return outcome !== CallerOutcome.NotRun && outcome !== CallerOutcome.NotConnected
}

function couldCause(attempt: CallerAttempt, run: TaskRun): boolean {
  if (attempt.jobId !== '' && attempt.jobId !== jobIdOf(run.taskId)) return false
  return run.startedAt >= attempt.sentAt - CLOCK_TOLERANCE_MS
}
