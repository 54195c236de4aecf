/**
 * Measures commit latency, syncs, failover, restart time and idle traffic of the replicated log, in
 * one process with in-memory links.
 *
 * `npx tsx packages/control/src/lib/bench/controlBench.ts [seconds]`
 */
import fs from 'node:fs'
import os from 'node:os'
import path from 'node:path'
import { ClaimVerdict, CommandResult } from '@cherryhitch/protocol'
import type { ClaimAnswer } from '@cherryhitch/protocol'
import { MemoryDisk, RealDisk } from '@cherryhitch/storage'
import type { StorageError } from '@cherryhitch/storage'
import { Effect } from 'effect'
import { PresetName } from '../state/presets'
import { keyClaim, setPreset } from '../testing/commands'
import { NodeCluster, waitUntil } from '../testing/nodeCluster'

const voters = ['v1', 'v2', 'v3']
const followers = ['f1', 'f2', 'f3', 'f4']
const RESTART_CHANGES = 10_000
const CONCURRENT_CHANGES = 100
const presets = Object.values(PresetName)

const realFolder = fs.mkdtempSync(path.join(os.tmpdir(), 'control-bench-'))

/** Number of file syncs so far on the in-memory disks. */
let syncs = 0

class CountingDisk extends MemoryDisk {
  override sync(name: string): Effect.Effect<void, StorageError> {
    syncs++
    return super.sync(name)
  }
}

interface Summary {
  readonly p50: number
  readonly p99: number
  readonly count: number
}

function summarize(times: number[]): Summary {
  const sorted = [...times].sort((a, b) => a - b)
  const quantile = (share: number): number => sorted[Math.floor(share * (sorted.length - 1))] ?? NaN
  return { p50: round(quantile(0.5)), p99: round(quantile(0.99)), count: sorted.length }
}

function round(value: number): number {
  return Math.round(value * 100) / 100
}

function print(line: string): void {
  process.stdout.write(`${line}\n`)
}

/** Selects real files on this machine instead of in-memory disks. */
const REAL = 'real'
type SyncDelay = number | typeof REAL

/** Starts a cluster with the default timing, as in the daemon. */
async function startCluster(syncDelay: SyncDelay, encodes = false): Promise<NodeCluster> {
  const cluster = new NodeCluster(voters, {}, encodes)
  for (const voter of voters) {
    if (syncDelay !== REAL) cluster.disks.set(voter, new CountingDisk({ syncDelayMs: syncDelay }))
    await cluster.start(voter, syncDelay === REAL ? { disk: realDisk(voter) } : {})
  }
  for (const follower of followers) await cluster.start(follower)
  const all = [...voters, ...followers]
  await waitUntil(
    () => all.every((instance) => cluster.node(instance).settings()?.current === true),
    'all instances have current settings',
  )
  return cluster
}

const realDisks: RealDisk[] = []

function realDisk(voter: string): RealDisk {
  const disk = new RealDisk(fs.mkdtempSync(path.join(realFolder, `${voter}-`)))
  realDisks.push(disk)
  return disk
}

/** Formats the syncs per claim of all three voters; empty for real files, which are not counted. */
function formatSyncs(before: number, claims: number): string {
  return syncs === before ? '' : `, ${round((syncs - before) / claims)} syncs per claim`
}

async function claimOnce(cluster: NodeCluster, instance: string, key: string): Promise<number> {
  const start = performance.now()
  const claim = cluster.node(instance).claim(keyClaim(key, `job-${key}`))
  const answer = await Effect.runPromise(claim)
  if (answer?.verdict !== ClaimVerdict.GRANTED) throw new Error(`claim ${key} was not granted`)
  return performance.now() - start
}

async function measureSequential(syncDelay: SyncDelay, count: number): Promise<void> {
  const cluster = await startCluster(syncDelay)
  const before = syncs
  const times: number[] = []
  for (let at = 0; at < count; at++) times.push(await claimOnce(cluster, 'f1', `alone${at}`))
  const { p50, p99 } = summarize(times)
  print(`sync ${syncDelay} ms, sequential: p50 ${p50} p99 ${p99} ms${formatSyncs(before, count)}`)
  await cluster.stopAll()
}

/** Sends claims at a fixed rate to all instances in turn, without waiting for the answers. */
async function measureRate(
  syncDelay: SyncDelay,
  perSecond: number,
  seconds: number,
): Promise<void> {
  const cluster = await startCluster(syncDelay)
  const instances = [...voters, ...followers]
  const before = syncs
  const running: Promise<number>[] = []
  const start = performance.now()
  const total = perSecond * seconds
  while (running.length < total) {
    const due = Math.min(total, ((performance.now() - start) / 1_000) * perSecond)
    while (running.length < due) {
      const instance = instances[running.length % instances.length] ?? ''
      running.push(claimOnce(cluster, instance, `rate${running.length}`))
    }
    await new Promise((resolve) => setTimeout(resolve, 1))
  }
  const { p50, p99, count } = summarize(await Promise.all(running))
  const head = `sync ${syncDelay} ms, ${perSecond}/s for ${seconds} s`
  print(`${head}: p50 ${p50} p99 ${p99} ms${formatSyncs(before, count)}`)
  await cluster.stopAll()
}

async function measureRestart(): Promise<void> {
  const cluster = new NodeCluster(['v1'], {})
  let node = await cluster.start('v1')
  await waitUntil(() => node.isLeader(), 'it is the leader')
  let version = 1
  while (version <= RESTART_CHANGES) {
    // Concurrent changes by operators: one change of each round is applied.
    const round = Array.from({ length: CONCURRENT_CHANGES }, (_, at) => {
      const preset = presets[(version + at) % presets.length] ?? ''
      return node.propose(setPreset(`c${version + at}`, preset, version + at))
    })
    const answers = await Effect.runPromise(Effect.all(round, { concurrency: 'unbounded' }))
    version += answers.filter(({ result }) => result === CommandResult.APPLIED).length
  }
  await cluster.stop('v1')
  const start = performance.now()
  node = await cluster.start('v1')
  const opened = round(performance.now() - start)
  await waitUntil(() => node.settings()?.current === true, 'its settings are current')
  const current = round(performance.now() - start)
  const held = node.settings()?.settings.version
  print(`restart after ${RESTART_CHANGES} changes: opened ${opened} ms, current ${current} ms`)
  print(`  version ${held}; the time to current includes the election`)
  await cluster.stopAll()
}

/** Measures the time from the crash of the leader to the next granted claim. */
async function measureFailover(rounds: number): Promise<void> {
  const cluster = await startCluster(4)
  const times: number[] = []
  for (let at = 0; at < rounds; at++) {
    const leader = voters.find((voter) => cluster.node(voter).isLeader()) ?? ''
    await claimOnce(cluster, 'f1', `before${at}`)
    await cluster.stop(leader)
    const start = performance.now()
    for (;;) {
      const claim = cluster.node('f1').claim(keyClaim(`after${at}`, `job-after${at}`))
      const answer = await Effect.runPromise(Effect.match(claim, matchGranted))
      if (answer) break
    }
    times.push(performance.now() - start)
    await cluster.start(leader)
    await new Promise((resolve) => setTimeout(resolve, 1_500))
  }
  const [worst = NaN] = [...times].sort((a, b) => b - a)
  print(`failover, ${rounds} times: p50 ${summarize(times).p50} worst ${round(worst)} ms`)
  await cluster.stopAll()
}

const matchGranted = {
  onSuccess: (answer: ClaimAnswer | undefined) => answer?.verdict === ClaimVerdict.GRANTED,
  onFailure: () => false,
}

async function measureIdle(seconds: number): Promise<void> {
  const cluster = await startCluster(0, true)
  await new Promise((resolve) => setTimeout(resolve, 4_000))
  const [bytes, messages] = [cluster.sentBytes, cluster.sentMessages]
  await new Promise((resolve) => setTimeout(resolve, seconds * 1_000))
  const perSecond = round((cluster.sentBytes - bytes) / seconds)
  const sent = round((cluster.sentMessages - messages) / seconds)
  print(`idle, 3 voters and 4 followers: ${perSecond} bytes/s, ${sent} messages/s`)
  await cluster.stopAll()
}

const seconds = Number(process.argv[2] ?? 10)
await measureFailover(12)
for (const syncDelay of [0, 4, REAL] as const) {
  await measureSequential(syncDelay, 50 * seconds)
  for (const perSecond of [1, 100, 1_000]) await measureRate(syncDelay, perSecond, seconds)
}
for (const disk of realDisks) await Effect.runPromise(disk.close())
fs.rmSync(realFolder, { recursive: true })
await measureIdle(seconds)
await measureRestart()
