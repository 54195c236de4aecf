/** The load and experiment tool: `npm run bench -- --help`. */
import fs from 'node:fs'
import path from 'node:path'
import { cac } from 'cac'
import { deployments } from '@cherryhitch/stand-ins'
import type { Deployment } from '@cherryhitch/stand-ins'
import { Effect } from 'effect'
import type { RunResult } from './lib/measure/RunResult'
import { ORDINARY, policies } from './lib/policies'
import { formatRow, formatRun, tableHead } from './lib/report/formatRun'
import { plotRatios } from './lib/report/plotRatios'
import { runScenario } from './lib/runScenario'
import { scenarios } from './lib/scenarios/scenarios'
import { buildPrograms } from './lib/system/buildPrograms'
import { addLoadCommand } from './load/loadCommand'

interface Flags {
  readonly deployment: string
  readonly scenario: string
  readonly policy: string
  readonly compare?: string
  readonly seconds: number
  readonly seed: number
  readonly json?: string
  readonly report?: string
  readonly help?: boolean
}

const ALL = 'all'
const BOTH = 'both'

function say(line: string): void {
  process.stderr.write(`${line}\n`)
}

function choose<T>(what: string, name: string, items: Readonly<Record<string, T>>): readonly T[] {
  const item = items[name]
  if (item !== undefined) return [item]
  if (name === ALL || name === BOTH) return Object.values(items)
  throw new Error(`no ${what} "${name}"; there are ${Object.keys(items).join(', ')}`)
}

function choosePolicies({ policy, compare }: Flags): readonly string[] {
  const names = compare === undefined ? [policy] : compare.split(',')
  for (const name of names) {
    if (name !== ORDINARY && policies[name] === undefined) {
      throw new Error(
        `no policy "${name}"; there are ${[ORDINARY, ...Object.keys(policies)].join(', ')}`,
      )
    }
  }
  return names
}

async function runAll(flags: Flags): Promise<readonly RunResult[]> {
  const byName = Object.fromEntries(scenarios.map((scenario) => [scenario.name, scenario]))
  const chosenDeployments = choose<Deployment>('deployment', flags.deployment, deployments)
  const chosenScenarios = choose('scenario', flags.scenario, byName)
  const chosenPolicies = choosePolicies(flags)
  const programs = await buildPrograms()
  const { seconds, seed } = flags
  const runs: RunResult[] = []
  for (const deployment of chosenDeployments) {
    for (const scenario of chosenScenarios) {
      for (const policy of chosenPolicies) {
        const order = { deployment, scenario, policy, seconds, seed, programs, say }
        const run = await Effect.runPromise(runScenario(order))
        say(formatRun(run))
        runs.push(run)
      }
    }
  }
  return runs
}

/** The second policy's mean and wasted messages over those of the first, for each pair of runs. */
function formatComparison(runs: readonly RunResult[], names: readonly string[]): string {
  const lines: string[] = []
  for (let index = 0; index + 1 < runs.length; index += names.length) {
    const [first, second] = runs.slice(index, index + 2)
    if (first === undefined || second === undefined) continue
    const mean = (second.ratio.mean / first.ratio.mean).toFixed(3)
    const wasted = `${second.wastedPer100Tasks.toFixed(2)} against ${first.wastedPer100Tasks.toFixed(2)}`
    lines.push(
      `${first.scenario}: ${second.policy} over ${first.policy}: mean ${mean}, wasted ${wasted}`,
    )
  }
  return lines.join('\n')
}

function writeReport(folder: string, runs: readonly RunResult[]): void {
  fs.mkdirSync(folder, { recursive: true })
  fs.writeFileSync(path.join(folder, 'ratios.svg'), plotRatios(runs))
  fs.writeFileSync(path.join(folder, 'runs.json'), JSON.stringify(runs, null, 2))
  const table = [tableHead, ...runs.map(formatRow), ''].join('\n')
  fs.writeFileSync(path.join(folder, 'runs.md'), table)
}

async function main(): Promise<void> {
  const cli = cac('bench')
  cli
    .option('--deployment <name>', 'kitaura, sabarmati or both', { default: 'kitaura' })
    .option('--scenario <name>', `all, or one of ${scenarios.map(({ name }) => name).join(', ')}`, {
      default: 'steady-60',
    })
    .option('--policy <name>', `${ORDINARY}, ${Object.keys(policies).join(', ')}`, {
      default: ORDINARY,
    })
    .option('--compare <a,b>', 'Run two policies in turn and print their ratio')
    .option('--seconds <n>', 'Length of the load of each run', { default: 20 })
    .option('--seed <n>', 'Seed of load and faults', { default: 1 })
    .option('--json <file>', 'Write all results as JSON')
    .option('--report <folder>', 'Write a table, a plot and the results')
  addLoadCommand(cli)
  cli.help()
  const flags = cli.parse(process.argv, { run: false }).options as Flags
  if (flags.help === true) return
  if (cli.matchedCommand !== undefined) {
    cli.runMatchedCommand()
    return
  }
  const runs = await runAll(flags)
  process.stdout.write(`${[tableHead, ...runs.map(formatRow)].join('\n')}\n`)
  if (flags.compare !== undefined) {
    process.stdout.write(`${formatComparison(runs, flags.compare.split(','))}\n`)
  }
  if (flags.json !== undefined) fs.writeFileSync(flags.json, JSON.stringify(runs, null, 2))
  if (flags.report !== undefined) writeReport(flags.report, runs)
  if (runs.some(({ invariants }) => !invariants.holds)) process.exitCode = 1
}

main().catch((err: unknown) => {
  say(err instanceof Error ? err.message : String(err))
  process.exitCode = 2
})
