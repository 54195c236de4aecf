/**
 * Measures how long a change of preset takes to be in force at all seven instances, by the
 * audit record of real processes: `npx tsx apps/bench/src/measureChanges.ts [changes]`.
 */
import { deployments } from '@cherryhitch/stand-ins'
import { Effect } from 'effect'
import { startBenchSystem } from './lib/system/BenchSystem'
import type { BenchSystem } from './lib/system/BenchSystem'
import { buildPrograms } from './lib/system/buildPrograms'

const DEFAULT_CHANGES = 60
const PAUSE_MS = 400
/** Records of the last changes are written shortly after them. */
const SETTLE_MS = 1500
const EVERYWHERE = '*'

interface AuditView {
  readonly kind: string
  readonly version: number
  readonly atMs: number
  readonly instance: string
}

async function makeChanges(system: BenchSystem, changes: number): Promise<void> {
  const [, daemon] = system.daemons
  if (daemon === undefined) return
  const operator = system.operator(daemon)
  let { version } = await operator.settings()
  for (let change = 0; change < changes; change++) {
    const name = change % 2 === 0 ? 'peak' : 'ordinary'
    version = await operator.setPreset(name, version, `change-${change}`)
    await new Promise((resolve) => setTimeout(resolve, PAUSE_MS))
  }
}

/** Milliseconds from the change to the last instance that took it, for each change. */
function delays(records: readonly AuditView[], instances: number): readonly number[] {
  return records
    .filter(({ kind }) => kind === 'preset_set')
    .flatMap((set) => {
      const taken = records.filter(
        ({ kind, version, instance }) =>
          kind === 'in_force' && version === set.version && instance !== EVERYWHERE,
      )
      if (taken.length < instances) return []
      return [Math.max(...taken.map(({ atMs }) => atMs)) - set.atMs]
    })
}

async function readAudit(system: BenchSystem): Promise<readonly AuditView[]> {
  const [, daemon] = system.daemons
  return daemon === undefined ? [] : ((await system.operator(daemon).audit()) as AuditView[])
}

const changes = Number(process.argv[2] ?? DEFAULT_CHANGES)
const programs = await buildPrograms()
const run = Effect.gen(function* () {
  const system = yield* startBenchSystem(deployments.kitaura, programs, 1)
  yield* Effect.promise(() => makeChanges(system, changes))
  yield* Effect.sleep(SETTLE_MS)
  const records = yield* Effect.promise(() => readAudit(system))
  return delays(records, system.daemons.length)
})
const sorted = [...(await Effect.runPromise(Effect.scoped(run)))].sort((a, b) => a - b)
const at = (share: number): string => (sorted[Math.floor(sorted.length * share)] ?? 0).toFixed(1)
process.stdout.write(
  `${sorted.length} of ${changes} changes seen in force at all instances: ` +
    `p50 ${at(0.5)} ms, p99 ${at(0.99)} ms, worst ${(sorted.at(-1) ?? 0).toFixed(1)} ms\n`,
)
