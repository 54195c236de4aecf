import { build } from 'hdr-histogram-js'
import type {
  CallerAttempt,
  CallerLedger,
  Deployment,
  EndpointLedger,
  JobRequest,
} from '@cherryhitch/stand-ins'
import {
  CallerOutcome,
  checkLedgers,
  compareToIdeal,
  networkFloorMs,
  totalSlots,
} from '@cherryhitch/stand-ins'
import type { InstanceUsage, RatioSummary, RunResult } from './RunResult'

/** What a run left behind. */
export interface RunRecord {
  readonly deployment: Deployment
  readonly scenario: string
  readonly policy: string
  readonly seed: number
  readonly seconds: number
  readonly jobs: readonly JobRequest[]
  readonly endpointLedger: EndpointLedger
  readonly callerLedger: CallerLedger
  readonly instances: readonly InstanceUsage[]
  readonly events: readonly string[]
}

/** Ratios are recorded in thousandths, since the histogram takes whole numbers. */
const RATIO_SCALE = 1000
const DIGITS = 3

/** Works the results out of the ledgers. */
export function summarizeRun(record: RunRecord): RunResult {
  const { deployment, endpointLedger, callerLedger, jobs, seconds } = record
  const { attempts } = callerLedger
  const answered = attempts.filter(({ outcome }) => outcome === CallerOutcome.Answered)
  const kept = attempts.filter(({ outcome }) => outcome !== CallerOutcome.Cancelled)
  const tasks = Math.max(1, endpointLedger.runs.length)
  const messages = endpointLedger.messages
  const sent = messages.reduce((sum, count) => sum + count.messages, callerLedger.requests)
  const wasted = messages.reduce((sum, count) => sum + count.wasted, 0)
  return {
    deployment: deployment.name,
    scenario: record.scenario,
    policy: record.policy,
    seed: record.seed,
    seconds,
    jobs: jobs.length,
    answered: answered.length,
    unanswered: countUnanswered(attempts),
    answeredShare: answered.length / Math.max(1, kept.length),
    tasks: endpointLedger.runs.length,
    ratio: summarizeRatios(ratiosToIdeal(deployment, jobs, callerLedger)),
    goodput: answered.length / seconds,
    messagesPerTask: sent / tasks,
    wastedPer100Tasks: (100 * wasted) / tasks,
    messages,
    invariants: checkLedgers(endpointLedger, callerLedger),
    instances: record.instances,
    events: record.events,
  }
}

function countUnanswered(attempts: readonly CallerAttempt[]): Readonly<Record<string, number>> {
  const counts: Record<string, number> = {}
  for (const { outcome, detail } of attempts) {
    if (outcome === CallerOutcome.Answered) continue
    const name = `${outcome}: ${detail}`
    counts[name] = (counts[name] ?? 0) + 1
  }
  return counts
}

/** Only answered jobs stand in the ideal schedule: refused work must not crowd it. */
function ratiosToIdeal(
  deployment: Deployment,
  jobs: readonly JobRequest[],
  ledger: CallerLedger,
): readonly number[] {
  const slots = new Map([[deployment.service, totalSlots(deployment)]])
  const options = { slots, networkMs: networkFloorMs(deployment) }
  return compareToIdeal(jobs, ledger, options).map(({ ratio }) => ratio)
}

function summarizeRatios(ratios: readonly number[]): RatioSummary {
  const histogram = build({ numberOfSignificantValueDigits: DIGITS })
  for (const ratio of ratios) histogram.recordValue(Math.max(1, Math.round(ratio * RATIO_SCALE)))
  const at = (percent: number) => histogram.getValueAtPercentile(percent) / RATIO_SCALE
  return { mean: histogram.mean / RATIO_SCALE, p50: at(50), p95: at(95), p99: at(99) }
}
