import fs from 'node:fs'
import type { PlatformCluster } from './PlatformCluster'
import type { RunRecord } from './RunRecord'
import { STARVED } from './checkConfig'

const INTERVAL_MS = 250
/** A process that waits longer than this, half of the interval, for a processor counts as slowed. */
const STARVED_MS = 125
const NS_PER_MS = 1_000_000

/** Records when the machine that plays all machines has no processor for one of the processes. */
export class StarvationWatch {
  private timer: NodeJS.Timeout | undefined
  private readonly waited = new Map<number, number>()
  private lastAt = 0
  private samples = 0
  private starvedSamples = 0
  /** Time in which no process waited for a processor, in milliseconds. */
  servedMs = 0

  constructor(
    private readonly cluster: PlatformCluster,
    private readonly record: RunRecord,
  ) {}

  start(): void {
    this.lastAt = this.record.now()
    this.timer = setInterval(() => {
      this.sample()
    }, INTERVAL_MS)
  }

  stop(): void {
    clearInterval(this.timer)
  }

  describe(): string {
    return `processes starved in ${this.starvedSamples} of ${this.samples} samples`
  }

  private sample(): void {
    const now = this.record.now()
    const lagMs = now - this.lastAt - INTERVAL_MS
    this.lastAt = now
    const pids = this.cluster.nodes.flatMap(({ child }) => child?.pid ?? [])
    const waits = [process.pid, ...pids].map((pid) => this.waitOf(pid))
    this.samples++
    if (Math.max(lagMs, ...waits) < STARVED_MS) {
      this.servedMs += INTERVAL_MS
      return
    }
    this.starvedSamples++
    this.record.disturbFor(STARVED, now - INTERVAL_MS - Math.max(0, lagMs), now)
  }

  /** Time that the process waited since the last sample, in milliseconds. */
  private waitOf(pid: number): number {
    const total = readWait(pid)
    const before = this.waited.get(pid)
    this.waited.set(pid, total)
    return before === undefined ? 0 : total - before
  }
}

/** Time on the run queue, in milliseconds; 0 for a process that has ended. */
function readWait(pid: number): number {
  try {
    const [, waited = '0'] = fs.readFileSync(`/proc/${pid}/schedstat`, 'utf8').split(' ')
    return Number(waited) / NS_PER_MS
  } catch {
    return 0
  }
}
