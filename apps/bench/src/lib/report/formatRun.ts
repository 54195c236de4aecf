import type { RunResult } from '../measure/RunResult'

/** Headings of the table that `formatRow` fills. */
export const tableHead = [
  '| deployment | scenario | policy | jobs | answered | mean | p50 | p95 | p99 | wasted per 100 | messages a task | cores | MB | violations |',
  '| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |',
].join('\n')

/** One run as a row of a Markdown table. Cores and memory are the highest of any instance. */
export function formatRow(run: RunResult): string {
  const { ratio, invariants, instances } = run
  const cores = Math.max(...instances.map((usage) => usage.cores))
  const memory = Math.max(...instances.map((usage) => usage.peakRssMb))
  const cells = [
    run.deployment,
    run.scenario,
    run.policy,
    run.jobs,
    `${(100 * run.answeredShare).toFixed(1)} %`,
    ratio.mean.toFixed(3),
    ratio.p50.toFixed(3),
    ratio.p95.toFixed(3),
    ratio.p99.toFixed(3),
    run.wastedPer100Tasks.toFixed(2),
    run.messagesPerTask.toFixed(2),
    cores.toFixed(2),
    memory.toFixed(0),
    invariants.violations.length,
  ]
  return `| ${cells.join(' | ')} |`
}

/** The run as a person reads it on a terminal. */
export function formatRun(run: RunResult): string {
  const wasted = run.messages
    .filter((count) => count.wasted > 0)
    .map(({ kind, wastedBy }) => `  wasted ${kind}: ${JSON.stringify(wastedBy)}`)
  const unanswered = Object.entries(run.unanswered)
    .sort(([, a], [, b]) => b - a)
    .slice(0, MAX_REASONS)
    .map(([reason, count]) => `  ${count} x ${reason}`)
  const broken = run.invariants.violations
    .slice(0, MAX_REASONS)
    .map((found) => `  BROKEN ${found.invariant} ${found.jobId}${found.taskId} ${found.detail}`)
  return [tableHead, formatRow(run), ...unanswered, ...wasted, ...broken].join('\n')
}

const MAX_REASONS = 8
