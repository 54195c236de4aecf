import type { CauseRow } from './accountLosses'

const HEAD = [
  'cause',
  'requests',
  'share',
  'core-seconds',
  'p50 wait, ms',
  'worst seconds',
  'by route',
  'by zone',
]

/** A table in Markdown, and the whole below it. */
export function formatLosses(rows: readonly CauseRow[], requests: number): string {
  const lost = rows.reduce((sum, row) => sum + row.requests, 0)
  const lines = [HEAD, HEAD.map(() => '---'), ...rows.map(cellsOf)]
  const table = lines.map((cells) => `| ${cells.join(' | ')} |`).join('\n')
  return `${table}\n\n${lost} of ${requests} requests not served in time\n`
}

function cellsOf(row: CauseRow): string[] {
  return [
    row.cause,
    String(row.requests),
    `${(row.share * 100).toFixed(1)} %`,
    row.coreSeconds.toFixed(1),
    row.medianWaitMs.toFixed(0),
    row.worstSeconds.join(', '),
    formatCounts(row.byRoute),
    formatCounts(row.byZone),
  ]
}

function formatCounts(counts: ReadonlyMap<string, number>): string {
  return [...counts]
    .sort((a, b) => b[1] - a[1])
    .map(([name, count]) => `${name === '' ? 'none' : name} ${count}`)
    .join(', ')
}
