import type { RunResult } from '../measure/RunResult'

const ROW_HEIGHT = 22
const LABEL_WIDTH = 300
const PLOT_WIDTH = 500
const BAR_HEIGHT = 8
const TOP = 40
/** Ratios beyond this are drawn at the edge, with their number. */
const MAX_RATIO = 4

function x(ratio: number): number {
  const share = (Math.min(ratio, MAX_RATIO) - 1) / (MAX_RATIO - 1)
  return LABEL_WIDTH + Math.max(0, share) * PLOT_WIDTH
}

function row(run: RunResult, index: number): string {
  const y = TOP + index * ROW_HEIGHT
  const { mean, p99 } = run.ratio
  const label = `${run.deployment} ${run.scenario} ${run.policy}`
  return [
    `<text x="${LABEL_WIDTH - 8}" y="${y + BAR_HEIGHT}" text-anchor="end">${label}</text>`,
    `<rect x="${x(1)}" y="${y}" width="${x(p99) - x(1)}" height="${BAR_HEIGHT}" fill="#c9d6e8"/>`,
    `<rect x="${x(1)}" y="${y}" width="${x(mean) - x(1)}" height="${BAR_HEIGHT}" fill="#2f5d96"/>`,
    `<text x="${x(p99) + 4}" y="${y + BAR_HEIGHT}">${mean.toFixed(2)} / ${p99.toFixed(2)}</text>`,
  ].join('')
}

/** Response time over the ideal, mean (dark) and p99 (light), as an SVG image. */
export function plotRatios(runs: readonly RunResult[]): string {
  const height = TOP + runs.length * ROW_HEIGHT + TOP
  const width = LABEL_WIDTH + PLOT_WIDTH + 100
  return [
    `<svg xmlns="http://www.w3.org/2000/svg" width="${width}" height="${height}" font-family="sans-serif" font-size="11">`,
    `<rect width="${width}" height="${height}" fill="white"/>`,
    `<text x="${LABEL_WIDTH}" y="20">response time over ideal: mean (dark), p99 (light)</text>`,
    ...runs.map(row),
    '</svg>',
    '',
  ].join('\n')
}
