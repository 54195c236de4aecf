import { startCluster } from '@cherryhitch/app'
import type { Instance, InstanceTiming } from '@cherryhitch/app'
import { Effect, Exit, Scope } from 'effect'
import { head, heapBytes, median, pause, row } from './measuring'

const ZONES = 3
const VOTERS = 3
const SETTLE_MS = 4000
const WINDOW_MS = 3000
const WINDOWS = 3
const US_PER_S = 1_000_000

function membersOf(count: number) {
  return Array.from({ length: count }, (_, n) => ({
    instance: `i${n}`,
    zone: `z${n % ZONES}`,
    voter: n < VOTERS,
  }))
}

function totalOf(instances: readonly Instance[], part: string, counter: string): number {
  return instances.reduce((sum, each) => sum + (each.counters()[part]?.[counter] ?? 0), 0)
}

/** Share of a core that the process uses during a while without any work. */
async function idleShare(): Promise<number> {
  const before = process.cpuUsage()
  const startedAt = performance.now()
  await pause(WINDOW_MS)
  const { user, system } = process.cpuUsage(before)
  return (user + system) / US_PER_S / ((performance.now() - startedAt) / 1000)
}

async function measureCluster(count: number, timing: Partial<InstanceTiming>): Promise<void> {
  const before = heapBytes()
  const scope = await Effect.runPromise(Scope.make())
  const started = startCluster({ instances: membersOf(count), timing })
  const instances = await Effect.runPromise(Scope.provide(scope)(started))
  await pause(SETTLE_MS)
  const sent = totalOf(instances, 'links', 'sent')
  const batches = totalOf(instances, 'links', 'batchesSent')
  const bytes = totalOf(instances, 'links', 'bytesSent')
  const shares: number[] = []
  for (let n = 0; n < WINDOWS; n++) shares.push(await idleShare())
  const seconds = (WINDOWS * WINDOW_MS) / 1000
  const perSecond = (now: number, then: number): number => (now - then) / seconds / count
  row(
    count,
    `${timing.partTickMs ?? 'default'}, ${timing.offerMs ?? 'default'}`,
    (median(shares) / count) * 100,
    perSecond(totalOf(instances, 'links', 'sent'), sent),
    perSecond(totalOf(instances, 'links', 'batchesSent'), batches),
    perSecond(totalOf(instances, 'links', 'bytesSent'), bytes),
    (heapBytes() - before) / count / 1000,
  )
  await Effect.runPromise(Scope.close(scope, Exit.void))
}

/** Prints what whole instances cost while there is no work, all of them in this process. */
export async function measureInstances(): Promise<void> {
  const columns = [
    'part tick, offer ms',
    '% of a core',
    'envelopes sent/s',
    'batches sent/s',
    'bytes sent/s',
    'heap kB',
  ]
  head('Idle instances, each of them', 'instances', ...columns)
  for (const count of [3, 7, 14, 28]) await measureCluster(count, {})
  for (const pace of [50, 100, 200]) {
    await measureCluster(7, { partTickMs: pace, offerMs: Math.max(pace, 200) })
  }
}
