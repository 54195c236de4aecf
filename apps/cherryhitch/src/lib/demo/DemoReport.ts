import type { InvariantReport } from '@cherryhitch/stand-ins'
import { Invariant } from '@cherryhitch/stand-ins'

/** Results of the demo; all counts come from the ledgers of the stand-ins. @public */
export interface DemoReport {
  readonly jobs: number
  readonly answeredJobs: number
  /** For each unanswered job, the outcome that its caller received. */
  readonly unanswered: readonly string[]
  readonly startedTasks: number
  readonly messages: number
  readonly wastedMessages: number
  /** Response time over the longest task, for jobs of 100 tasks on an idle system. */
  readonly wideOverIdeal: { readonly p50: number; readonly p99: number }
  /** Response time less the task's own run time, for jobs of one task, in milliseconds. */
  readonly addedMs: { readonly p50: number; readonly p99: number }
  /** Response time over the ideal schedule, under the mixed load. */
  readonly loadOverIdeal: { readonly mean: number; readonly p99: number }
  readonly invariants: InvariantReport
}

/** @internal */
export function formatDemoReport(report: DemoReport): string {
  const { counts } = report.invariants
  const perTask = report.messages / Math.max(1, report.startedTasks)
  const wastedShare = (100 * report.wastedMessages) / Math.max(1, report.startedTasks)
  const rows: readonly (readonly [string, string])[] = [
    ['jobs', `${report.jobs}, ${report.answeredJobs} answered completely`],
    ['tasks started', String(report.startedTasks)],
    ['100 tasks, idle', ratioText(report.wideOverIdeal.p50, report.wideOverIdeal.p99, 'p50')],
    ['mixed load', ratioText(report.loadOverIdeal.mean, report.loadOverIdeal.p99, 'mean')],
    ['added to one task', addedText(report.addedMs)],
    ['messages per task', perTask.toFixed(2)],
    ['wasted messages', `${report.wastedMessages} (${wastedShare.toFixed(2)} per 100 tasks)`],
    ['double starts', String(counts[Invariant.DoubleStart])],
    ['partial answers', String(counts[Invariant.PartialAnswer])],
    ['false "not run"', String(counts[Invariant.RunBehindNotRun])],
    ['all invariants', report.invariants.holds ? 'hold' : 'BROKEN'],
  ]
  const width = Math.max(...rows.map(([name]) => name.length))
  const lines = rows.map(([name, text]) => `${name.padEnd(width)}  ${text}`)
  return [...lines, ...report.unanswered].join('\n')
}

function ratioText(first: number, p99: number, name: string): string {
  return `${first.toFixed(3)} times the ideal (${name}), ${p99.toFixed(3)} (p99)`
}

function addedText({ p50, p99 }: DemoReport['addedMs']): string {
  return `${p50.toFixed(1)} ms (p50), ${p99.toFixed(1)} ms (p99)`
}
