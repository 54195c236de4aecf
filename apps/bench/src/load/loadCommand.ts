import fs from 'node:fs'
import type { CAC } from 'cac'
import { formatLoad } from './formatLoad'
import { measureLoad } from './measureLoad'
import type { LoadRow } from './measureLoad'
import { plotLoad } from './plotLoad'

interface LoadFlags {
  readonly endpoints: string | number
  readonly loads: string | number
  readonly seconds: number
  readonly seed: number
  readonly plot?: string
}

const MS_PER_SECOND = 1_000

function say(line: string): void {
  process.stderr.write(`${line}\n`)
}

/** Numbers separated by commas; a single one comes from the command line as a number. */
function numbersOf(list: string | number): number[] {
  const numbers = String(list).split(',').map(Number)
  if (numbers.some((number) => !(number > 0))) throw new Error(`"${list}" is no list of numbers`)
  return numbers
}

/** `bench load`: what a decision costs at sizes and loads, in the load model. */
export function addLoadCommand(cli: CAC): void {
  cli
    .command('load', 'Price and quality of decisions in the load model')
    .option('--endpoints <n,...>', 'Sizes of the service', { default: '33,245,540' })
    .option('--loads <x,...>', 'Arriving work over what the places can do', { default: '0.8,1.3' })
    .option('--seconds <n>', 'Length of the load after the warm-up', { default: 3 })
    .option('--seed <n>', 'Seed of jobs, run times and orders', { default: 1 })
    .option('--plot <file>', 'Write a plot as an SVG image')
    .action((flags: LoadFlags) => {
      const rows: LoadRow[] = []
      const playMs = flags.seconds * MS_PER_SECOND
      for (const endpoints of numbersOf(flags.endpoints)) {
        for (const load of numbersOf(flags.loads)) {
          say(`${endpoints} endpoints at ${load}`)
          rows.push(measureLoad({ endpoints, load, seed: flags.seed, playMs }))
        }
      }
      process.stdout.write(`${formatLoad(rows)}\n`)
      if (flags.plot !== undefined) fs.writeFileSync(flags.plot, plotLoad(rows))
    })
}
