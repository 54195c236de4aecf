/** Randomised runs with invariants asserted inside: `npm run soak -- --seed 1 --minutes 10`. */
import path from 'node:path'
import { cac } from 'cac'
import { deployments } from '@cherryhitch/stand-ins'
import { runControlPart, runDispatchPart, runJointPart } from './lib/soak/runMachineSoak'
import { runProgramSoak } from './lib/soak/runProgramSoak'
import type { SoakVerdict } from './lib/soak/SoakVerdict'
import { buildPrograms } from './lib/system/buildPrograms'
import { buildPlatformPrograms } from './platform/buildPlatformPrograms'
import type { PlatformPrograms } from './platform/buildPlatformPrograms'
import { runPlatformSoak } from './platform/runPlatformSoak'

interface Flags {
  readonly seed: number
  readonly minutes: number
  readonly only?: string
  readonly tree: string
  readonly all?: boolean
  readonly help?: boolean
}

/** The parts of a round, by their names on the command line. */
enum Part {
  Joint = 'joint',
  Control = 'control',
  Dispatch = 'dispatch',
  Program = 'program',
  Platform = 'platform',
}

const LONG_PARTS: readonly string[] = [Part.Program, Part.Platform]
const MS_PER_MINUTE = 60_000
const JOINT_STEPS = 300
const CONTROL_STEPS = 200
const DISPATCH_STEPS = 300
const RUNS_OF_MACHINES = 5
const LOAD_SECONDS = 18
const DISTURBED_SECONDS = 25
/** A run of the programs that would end after the limit is not begun. */
const PROGRAM_RUN_MS = 40_000
const PLATFORM_RUN_MS = 75_000
const root = path.resolve(import.meta.dirname, '../../..')

interface Run {
  readonly name: string
  readonly seed: number
  /** How long it may take, if that is long. */
  readonly limitMs: number
  readonly start: () => SoakVerdict | Promise<SoakVerdict>
}

type MachinePart = Part.Joint | Part.Control | Part.Dispatch

const machineParts = {
  [Part.Joint]: { run: runJointPart, steps: JOINT_STEPS },
  [Part.Control]: { run: runControlPart, steps: CONTROL_STEPS },
  [Part.Dispatch]: { run: runDispatchPart, steps: DISPATCH_STEPS },
}

function runsOfMachines(part: MachinePart, seed: number): readonly Run[] {
  const { run, steps } = machineParts[part]
  return Array.from({ length: RUNS_OF_MACHINES }, (_, index) => {
    const own = seed + index
    return { name: part, seed: own, limitMs: 0, start: () => run(own, steps) }
  })
}

let platformPrograms: Promise<PlatformPrograms> | undefined

async function platformRuns(seed: number, tree: string): Promise<readonly Run[]> {
  platformPrograms ??= buildPlatformPrograms(path.resolve(tree))
  const programs = await platformPrograms
  return Array.from({ length: RUNS_OF_MACHINES }, (_, index) => {
    const options = { seed: seed + index, seconds: DISTURBED_SECONDS, programs }
    const start = () => runPlatformSoak(options)
    return { name: Part.Platform, seed: options.seed, limitMs: PLATFORM_RUN_MS, start }
  })
}

/** One round, whose seeds begin with the one given. */
async function makeRound(seed: number, { only, tree }: Flags): Promise<readonly Run[]> {
  if (only === Part.Platform) return platformRuns(seed, tree)
  const wants = (part: string): boolean => only === undefined || only === part
  const machines = ([Part.Joint, Part.Control, Part.Dispatch] as const).filter(wants)
  const runs = machines.flatMap((part) => runsOfMachines(part, seed))
  if (!wants(Part.Program)) return runs
  const programs = await buildPrograms()
  const programRuns = Object.values(deployments).map((deployment) => ({
    name: `${Part.Program} ${deployment.name}`,
    seed,
    limitMs: PROGRAM_RUN_MS,
    start: () => runProgramSoak({ deployment, seed, seconds: LOAD_SECONDS, programs }),
  }))
  return [...runs, ...programRuns]
}

function say(line: string): void {
  process.stdout.write(`${line}\n`)
}

/** @returns whether every promise held */
async function runOne({ name, seed, start }: Run): Promise<boolean> {
  const startedAt = Date.now()
  const { summary, violations, details, folder } = await start()
  const seconds = ((Date.now() - startedAt) / 1000).toFixed(1)
  const holds = violations.length === 0
  say(`soak: ${name} seed ${seed}: ${holds ? 'holds' : 'VIOLATED'} (${seconds} s) ${summary}`)
  if (holds) return true
  for (const violation of violations.slice(0, 10)) say(`soak:   ${violation}`)
  for (const detail of details) say(`soak:   ${detail}`)
  if (folder !== undefined) say(`soak:   kept ${folder}`)
  return false
}

async function main(): Promise<void> {
  const cli = cac('soak')
  cli
    .option('--seed <n>', 'Seed of the first round; each round takes the next ones', { default: 1 })
    .option('--minutes <n>', 'No run begins after this time', { default: 10 })
    .option('--only <part>', `Only one of ${Object.values(Part).join(', ')}`)
    .option('--all', 'Go on after a violation')
    .option('--tree <folder>', 'Tree whose programs the platform part runs', { default: root })
  cli.help()
  const flags = cli.parse().options as Flags
  if (flags.help === true) return
  const until = Date.now() + flags.minutes * MS_PER_MINUTE
  for (let seed = flags.seed; Date.now() < until; seed += RUNS_OF_MACHINES) {
    for (const run of await makeRound(seed, flags)) {
      if (Date.now() + run.limitMs >= until) continue
      if (await runOne(run)) continue
      process.exitCode = 1
      if (flags.all !== true) return
    }
    // Nothing of this round fits into the time that is left.
    const limitMs = flags.only === Part.Platform ? PLATFORM_RUN_MS : PROGRAM_RUN_MS
    if (LONG_PARTS.includes(flags.only ?? '') && Date.now() + limitMs >= until) return
  }
}

main().catch((err: unknown) => {
  say(err instanceof Error ? err.message : String(err))
  process.exitCode = 2
})
