import fs from 'node:fs'
import os from 'node:os'
import path from 'node:path'
import type { Deployment } from '@cherryhitch/stand-ins'
import { Effect } from 'effect'
import { ORDINARY } from '../policies'
import { runScenario } from '../runScenario'
import type { BenchPrograms } from '../system/buildPrograms'
import { RandomScenario } from './RandomScenario'
import type { SoakVerdict } from './SoakVerdict'

/** One run of the real programs under drawn faults. */
export interface ProgramSoakOptions {
  readonly deployment: Deployment
  readonly seed: number
  /** Length of the load. */
  readonly seconds: number
  readonly programs: BenchPrograms
}

/** Start, settling and the last answers on a busy machine; what takes longer hangs. */
const EXTRA_MS = 90_000

/**
 * Runs a deployment's programs under load and drawn faults. Load and faults follow from the seed;
 * how the processes interleave does not, so that a run may differ from one with the same seed.
 */
export async function runProgramSoak(options: ProgramSoakOptions): Promise<SoakVerdict> {
  const { deployment, seed, seconds, programs } = options
  const folder = fs.mkdtempSync(
    path.join(os.tmpdir(), `cherryhitch-soak-${deployment.name}-${seed}-`),
  )
  const scenario = new RandomScenario(seed)
  const events: string[] = []
  const say = (line: string): void => {
    events.push(line)
  }
  const limitMs = seconds * 1000 + EXTRA_MS
  const order = { deployment, scenario, policy: ORDINARY, seconds, seed, programs, say }
  const bounded = Effect.timeoutOrElse(runScenario(order), {
    duration: limitMs,
    orElse: () => Effect.die(new Error(`the run took longer than ${limitMs} ms`)),
  })
  const violations: string[] = []
  let summary = ''
  try {
    const run = await within(folder, () => Effect.runPromise(bounded))
    const broken = run.invariants.violations.map((found) => JSON.stringify(found))
    violations.push(...broken, ...scenario.violations)
    if (run.answered === 0) violations.push('no job was answered')
    const share = (100 * run.answeredShare).toFixed(1)
    summary = `${run.jobs} jobs, ${share} % answered, ${run.events.length - 2} events`
  } catch (err) {
    violations.push(err instanceof Error ? err.message : String(err), ...scenario.violations)
  }
  if (violations.length === 0) fs.rmSync(folder, { recursive: true, force: true })
  return { summary, violations, details: events, folder }
}

/** The bench puts the run's settings, data and logs into the folder, and leaves them there. */
async function within<T>(folder: string, run: () => Promise<T>): Promise<T> {
  const { TMPDIR, CHERRYHITCH_BENCH_KEEP } = process.env
  Object.assign(process.env, { TMPDIR: folder, CHERRYHITCH_BENCH_KEEP: '1' })
  try {
    return await run()
  } finally {
    restore('TMPDIR', TMPDIR)
    restore('CHERRYHITCH_BENCH_KEEP', CHERRYHITCH_BENCH_KEEP)
  }
}

function restore(name: string, value: string | undefined): void {
  // Setting a variable to undefined would set it to that word.
  if (value === undefined) Reflect.deleteProperty(process.env, name)
  else process.env[name] = value
}
