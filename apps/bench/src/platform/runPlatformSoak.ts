import fs from 'node:fs'
import os from 'node:os'
import path from 'node:path'
import { setTimeout as sleep } from 'node:timers/promises'
import { StandInWorker } from '@cherryhitch/platform'
import { SeededRandom } from '@cherryhitch/stand-ins'
import type { SoakVerdict } from '../lib/soak/SoakVerdict'
import { CallerTraffic, Handling } from './CallerTraffic'
import { Disturbances, FinalFault, Profile } from './Disturbances'
import { OperatorTraffic, SERVICES } from './OperatorTraffic'
import { PlatformCluster } from './PlatformCluster'
import { RunRecord } from './RunRecord'
import { StarvationWatch } from './StarvationWatch'
import type { PlatformPrograms } from './buildPlatformPrograms'
import {
  CONTACT_MS,
  STARVED,
  checkForbidden,
  checkOldReads,
  checkReadContent,
  checkRegress,
  checkStaleRequests,
} from './checkConfig'

export interface PlatformSoakOptions {
  readonly seed: number
  /** Length of the disturbances. */
  readonly seconds: number
  readonly programs: PlatformPrograms
}

const RECOVERY_MS = 12_000
const CALM_MS = 2_000
const ENDPOINTS_PER_SERVICE = 2
const RUN_MS = 20
/** Of the requests after the recovery, at least this share is served. */
const SERVED_SHARE = 0.25
const READ_GAP_MS = 50
/** A time with a processor for all processes is waited for no longer. */
const FAIR_LIMIT_MS = 60_000
const POLL_MS = 100

/** The parts of a run; drawn from generators of their own, so that none shifts the other's draws. */
class PlatformRun {
  readonly record = new RunRecord()
  readonly cluster: PlatformCluster
  readonly operator: OperatorTraffic
  readonly callers: CallerTraffic
  readonly disturbances: Disturbances
  readonly violations: string[] = []
  private profile = Profile.All
  private readonly watch: StarvationWatch
  private readonly endpoints: StandInWorker[] = []
  private readonly seeds: SeededRandom

  constructor(folder: string, { seed, programs }: PlatformSoakOptions) {
    this.seeds = new SeededRandom(seed)
    const { record } = this
    this.cluster = new PlatformCluster({ folder, programs, record, random: this.draw() })
    this.operator = new OperatorTraffic(this.cluster, record, this.draw())
    this.callers = new CallerTraffic(this.cluster, record, this.draw(), this.operator)
    const watch = new StarvationWatch(this.cluster, record)
    this.watch = watch
    this.disturbances = new Disturbances(this.cluster, record, this.draw(), this.operator, watch)
  }

  async play(seconds: number): Promise<void> {
    const profile = this.seeds.pick(Object.values(Profile))
    const fault = this.seeds.pick(Object.values(FinalFault))
    this.profile = profile
    await this.cluster.startAll()
    this.watch.start()
    await this.operator.sendFirst()
    await this.startEndpoints()
    const traffic = [this.operator.run(), this.operator.readAll(), this.callers.run()]
    await sleep(CALM_MS)
    const disturbing = this.disturbances.run(profile)
    await sleep(seconds * 1_000)
    this.disturbances.isOver = true
    await disturbing
    await this.disturbances.runFinal(fault)
    this.operator.isOver = true
    await this.checkRecovery()
    this.operator.isReadOver = true
    this.callers.isOver = true
    await Promise.all(traffic)
  }

  check(): void {
    const { record, operator, callers } = this
    const seen = { sent: operator.sent, forbidden: operator.forbidden, record }
    const stale = checkStaleRequests(callers.requests, seen)
    this.violations.push(
      ...operator.violations,
      ...stale.violations,
      ...checkRegress(callers.requests, seen),
      ...checkOldReads(operator.reads, seen),
      ...checkReadContent(operator.reads, seen),
      ...checkForbidden(callers.requests, seen),
    )
    for (const note of stale.notes) record.add('not in touch', note)
    this.record.note(this.watch.describe())
    const ended = record.counts.get('ended by itself') ?? 0
    if (ended > 0) this.violations.push(`${ended} processes ended by themselves`)
  }

  async end(): Promise<void> {
    this.watch.stop()
    for (const endpoint of this.endpoints) endpoint.stop()
    await this.cluster.close()
  }

  summary(): string {
    const counts = [...this.record.counts].sort(([a], [b]) => a.localeCompare(b))
    const { requests } = this.callers
    const run = requests.filter(({ handling }) => handling === Handling.Run).length
    const acked = [...this.operator.sent.values()].filter(({ ackedAtMs }) => ackedAtMs).length
    const events = counts.map(([name, count]) => `${name} ${count}`).join(', ')
    return `${this.profile}: ${requests.length} requests, ${run} run, ${this.operator.reads.length} reads, ${acked} of ${this.operator.sent.size} changes acknowledged; ${this.watch.describe()}; ${events}`
  }

  private draw(): SeededRandom {
    return new SeededRandom(this.seeds.integer(1, 2 ** 31))
  }

  private async startEndpoints(): Promise<void> {
    for (const service of SERVICES) {
      for (let n = 0; n < ENDPOINTS_PER_SERVICE; n++) {
        const endpoint = new StandInWorker({
          id: `${service}-${n}`,
          service,
          zone: `zone-${n + 1}`,
          host: '127.0.0.1',
          runMs: RUN_MS,
          onRun: (task) => {
            this.callers.noteRun(service, task)
          },
        })
        this.endpoints.push(endpoint)
        await endpoint.start(...this.cluster.controls)
      }
    }
  }

  /** The newest acknowledged version is read back, and requests are served again. */
  private async checkRecovery(): Promise<void> {
    const { record, operator } = this
    const hasRecovered = await this.sleepServed(RECOVERY_MS)
    const recoveredAtMs = record.now()
    const newest = operator.newest()
    let version = -1
    let isJudged = hasRecovered
    const reading = this.sleepServed(CONTACT_MS).then((isServed) => {
      isJudged &&= isServed
      return true
    })
    const pause = (): Promise<boolean> => sleep(READ_GAP_MS).then(() => false)
    for (let isOver = false; !isOver; isOver = await Promise.race([reading, pause()])) {
      if (version < newest) version = Math.max(version, (await operator.read())?.version ?? -1)
    }
    const missing = version < newest ? [`read back at the end: ${version}, not ${newest}`] : []
    const findings = [...missing, ...this.unserved(recoveredAtMs)]
    if (isJudged) this.violations.push(...findings)
    else record.add('end not judged, processes starved', findings.join('; '))
  }

  /**
   * Sleeps until the processes have had a processor for so long at one stretch, in milliseconds.
   *
   * @returns false if that took too long
   */
  private async sleepServed(ms: number): Promise<boolean> {
    const { record } = this
    const untilMs = record.now() + FAIR_LIMIT_MS
    let fromMs = record.now()
    while (record.now() - fromMs < ms && record.now() < untilMs) {
      await sleep(POLL_MS)
      // An election that was interrupted begins anew, so the time counts at one stretch only.
      if (!record.isCalm([STARVED], record.now() - 2 * POLL_MS, record.now())) fromMs = record.now()
    }
    return record.now() - fromMs >= ms
  }

  private unserved(fromMs: number): readonly string[] {
    const prefixes = new Set(this.operator.routes.map(({ prefix }) => prefix))
    const owed = this.callers.requests.filter(
      ({ sentAtMs, prefix }) => sentAtMs >= fromMs && prefixes.has(prefix),
    )
    const served = owed.filter(({ status }) => status === 200)
    this.record.note(`after the recovery: ${served.length} of ${owed.length} served`)
    if (served.length >= SERVED_SHARE * owed.length && owed.length > 0) return []
    return [`after the recovery ${served.length} of ${owed.length} were served`]
  }
}

/** Runs the programs of the platform's roles as processes, under drawn disturbances. */
export async function runPlatformSoak(options: PlatformSoakOptions): Promise<SoakVerdict> {
  const folder = fs.mkdtempSync(path.join(os.tmpdir(), `cherryhitch-platform-${options.seed}-`))
  const run = new PlatformRun(folder, options)
  const killAll = (): void => {
    run.cluster.killAll()
  }
  // Also after an error that nothing catches.
  process.once('exit', killAll)
  const onSignal = (): void => process.exit(2)
  for (const signal of ['SIGINT', 'SIGTERM'] as const) process.once(signal, onSignal)
  try {
    await run.play(options.seconds)
  } catch (err) {
    run.violations.push(err instanceof Error ? (err.stack ?? err.message) : String(err))
  } finally {
    await run.end()
    process.off('exit', killAll)
    for (const signal of ['SIGINT', 'SIGTERM'] as const) process.off(signal, onSignal)
  }
  run.check()
  const { violations, record } = run
  const hasBroken = violations.length > 0
  const text = [...violations, '', ...record.lines].join('\n')
  if (hasBroken) fs.writeFileSync(path.join(folder, 'record.txt'), text)
  else fs.rmSync(folder, { recursive: true, force: true })
  return { summary: run.summary(), violations, details: record.lines, folder }
}
