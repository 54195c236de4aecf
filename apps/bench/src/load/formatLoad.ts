import type { LoadRow } from './measureLoad'

const HEAD = [
  'endpoints',
  'load',
  'seed',
  'steps, s',
  'a start, µs',
  'p99.9 of a step, ms',
  'starts',
  'in time',
  'late',
  'refused early',
  'refused late',
  'unserved',
]

/** A table in Markdown. */
export function formatLoad(rows: readonly LoadRow[]): string {
  const lines = [HEAD, HEAD.map(() => '---'), ...rows.map(cellsOf)]
  return lines.map((cells) => `| ${cells.join(' | ')} |`).join('\n')
}

function cellsOf({ endpoints, load, seed, outcome, ...row }: LoadRow): string[] {
  const { inTime, late, refusedEarly, refusedLate, unserved, counted } = outcome
  return [
    String(endpoints),
    String(load),
    String(seed),
    row.stepSeconds.toFixed(2),
    row.startUs.toFixed(0),
    row.longStepMs.toFixed(1),
    String(counted.starts),
    ...[inTime, late, refusedEarly, refusedLate, unserved].map((share) => share.toFixed(3)),
  ]
}
