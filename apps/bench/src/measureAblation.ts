/**
 * Plays the mix of the users' sheets with each mechanism of dispatching left out, and prints what
 * is in time with and without it: `npx tsx apps/bench/src/measureAblation.ts [seeds]`.
 */
import { playLoad } from '@cherryhitch/dispatch'
import type { LoadOptions, LoadOutcome } from '@cherryhitch/dispatch'
import { Mechanism } from '@cherryhitch/model'

const DEFAULT_SEEDS = 3
/** Calm, the edge, a burst, and lost orders. */
const SCENES: readonly (readonly [string, LoadOptions])[] = [
  ['0.9', { load: 0.9 }],
  ['1.3', { load: 1.3 }],
  ['1.8', { load: 1.8 }],
  ['0.8, 5 % lost', { load: 0.8, lateOrder: 0.05 }],
]

interface Summary {
  readonly mean: number
  /** Largest less smallest of the seeds. */
  readonly spread: number
  readonly late: number
}

function play(options: LoadOptions, seeds: number, without: readonly Mechanism[]): Summary {
  const outcomes = Array.from({ length: seeds }, (_, at) => {
    return playLoad({ ...options, seed: at + 1, without })
  })
  const shares = outcomes.map(({ inTime }) => inTime)
  const lateOf = ({ refusedLate, unserved }: LoadOutcome): number => refusedLate + unserved
  return {
    mean: meanOf(shares),
    spread: Math.max(...shares) - Math.min(...shares),
    late: meanOf(outcomes.map(lateOf)),
  }
}

function meanOf(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / values.length
}

function format({ mean, spread, late }: Summary): string {
  return `${mean.toFixed(3)} (${spread.toFixed(3)}), ${late.toFixed(3)}`
}

const seeds = Number(process.argv[2] ?? DEFAULT_SEEDS)
const head = ['left out', ...SCENES.map(([name]) => name)]
process.stdout.write(`| ${head.join(' | ')} |\n| ${head.map(() => '---').join(' | ')} |\n`)
for (const mechanism of [undefined, ...Object.values(Mechanism)]) {
  const without = mechanism === undefined ? [] : [mechanism]
  const cells = SCENES.map(([, options]) => format(play(options, seeds, without)))
  process.stdout.write(`| ${mechanism ?? 'nothing'} | ${cells.join(' | ')} |\n`)
}
