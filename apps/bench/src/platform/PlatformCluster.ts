import { spawn } from 'node:child_process'
import type { ChildProcess } from 'node:child_process'
import fs from 'node:fs'
import path from 'node:path'
import { setTimeout as sleep } from 'node:timers/promises'
import type { SeededRandom } from '@cherryhitch/stand-ins'
import { LinkProxies } from './LinkProxies'
import { NodeRole } from './PlatformNode'
import type { PlatformNode } from './PlatformNode'
import type { PlatformPrograms } from './buildPlatformPrograms'
import type { RunRecord } from './RunRecord'
import type { DiskState } from './diskState'
import { soundDisk } from './diskState'
import { losePower } from './losePower'
import { shadowFolderOf } from './shadowFolderOf'

export interface PlatformClusterOptions {
  readonly folder: string
  readonly programs: PlatformPrograms
  readonly record: RunRecord
  /** Draws what a loss of power leaves. */
  readonly random: SeededRandom
}

const ZONES = ['zone-1', 'zone-2', 'zone-3']
/** Below the range from which Linux takes the ports of outgoing connections. */
const PORTS = { control: 11_001, callers: 11_002, readiness: 11_003, metrics: 11_004 }
const FIRST_LINK_PORT = 11_100
const FIRST_ENTRY = 11
const EXIT_LIMIT_MS = 9_000
const HEARTBEAT_MS = 500

/** The instances of a small deployment, each a process with the addresses of its own machine. */
export class PlatformCluster {
  readonly nodes: PlatformNode[] = []
  readonly links = new LinkProxies()
  private nextDispatch = 1
  private isClosed = false
  private seeds: readonly string[] = []

  constructor(private readonly options: PlatformClusterOptions) {}

  get dispatchers(): readonly PlatformNode[] {
    return this.nodes.filter(({ role }) => role === NodeRole.Dispatch)
  }

  get entries(): readonly PlatformNode[] {
    return this.nodes.filter(({ role }) => role === NodeRole.Entry)
  }

  get controls(): readonly string[] {
    return this.dispatchers.map((node) => this.controlOf(node))
  }

  controlOf({ host }: PlatformNode): string {
    return `${host}:${PORTS.control}`
  }

  callersOf({ host }: PlatformNode): string {
    return `${host}:${PORTS.callers}`
  }

  async startAll(): Promise<void> {
    for (const zone of ZONES) await this.add(NodeRole.Dispatch, zone)
    this.seeds = this.controls
    for (const zone of ZONES) await this.add(NodeRole.Entry, zone)
    for (const node of this.nodes) this.start(node, true)
  }

  /** Adds a dispatching instance with an empty disk at a new address. */
  async addDispatcher(zone: string): Promise<PlatformNode> {
    const node = await this.add(NodeRole.Dispatch, zone)
    this.start(node)
    return node
  }

  remove(node: PlatformNode): void {
    this.nodes.splice(this.nodes.indexOf(node), 1)
  }

  start(node: PlatformNode, isFirst = false): void {
    if (this.isClosed) return
    const { programs, folder, record } = this.options
    fs.mkdirSync(node.folder, { recursive: true })
    const settings = path.join(folder, `${node.name}.jsonc`)
    fs.writeFileSync(settings, JSON.stringify(this.settingsOf(node, isFirst), undefined, 2))
    const log = fs.openSync(path.join(folder, `${node.name}.log`), 'a')
    const isDispatch = node.role === NodeRole.Dispatch
    const args = isDispatch ? programs.dispatch(settings) : programs.entry(settings)
    const child = spawn(process.execPath, args, {
      stdio: isDispatch ? ['ignore', log, log, 'ipc'] : ['ignore', log, log],
      cwd: programs.root,
    })
    fs.closeSync(log)
    child.on('error', (err) => {
      record.note(`${node.name}: ${err.message}`)
    })
    child.on('exit', (code, signal) => {
      record.note(`${node.name} ended, code ${code ?? '-'}, signal ${signal ?? '-'}`)
      if (node.child !== child || node.isBusy || this.isClosed) return
      record.add('ended by itself', node.name)
      this.start(node)
    })
    node.child = child
    node.incarnation++
    node.isBusy = false
    record.note(`${node.name} starts, process ${child.pid ?? 0}`)
  }

  /** Sends a signal that ends the process, and waits for its end. */
  async end(node: PlatformNode, signal: 'SIGTERM' | 'SIGKILL'): Promise<void> {
    node.isBusy = true
    const { child } = node
    if (child === undefined) return
    child.kill(signal)
    const killing = setTimeout(() => child.kill('SIGKILL'), EXIT_LIMIT_MS)
    await ended(child)
    clearTimeout(killing)
  }

  async cutPower(node: PlatformNode): Promise<void> {
    this.links.silence([node])
    await this.end(node, 'SIGKILL')
    if (node.role === NodeRole.Dispatch) losePower(node.folder, this.options.random)
  }

  async loseDisk(node: PlatformNode): Promise<void> {
    await this.end(node, 'SIGKILL')
    for (const folder of [node.folder, shadowFolderOf(node.folder)]) {
      fs.rmSync(folder, { recursive: true, force: true })
    }
  }

  setDisk({ child }: PlatformNode, state: Partial<DiskState>): void {
    if (child?.connected !== true) return
    // A process that ends meanwhile needs no state.
    child.send({ ...soundDisk, ...state }, () => undefined)
  }

  /** The instance that became leader last, by the logs. */
  leader(): PlatformNode | undefined {
    let best: PlatformNode | undefined
    let bestTerm = -1
    for (const node of this.dispatchers) {
      const file = path.join(this.options.folder, `${node.name}.log`)
      const text = fs.existsSync(file) ? fs.readFileSync(file, 'utf8') : ''
      const term = Number([...text.matchAll(/became leader in term (\d+)/g)].at(-1)?.[1] ?? -1)
      if (term <= bestTerm) continue
      best = node
      bestTerm = term
    }
    return best
  }

  /** Ends all processes at once. */
  async close(): Promise<void> {
    this.isClosed = true
    this.killAll()
    const children = this.nodes.flatMap(({ child }) => (child === undefined ? [] : [child]))
    await Promise.race([Promise.all(children.map(ended)), sleep(EXIT_LIMIT_MS)])
    this.links.close()
  }

  killAll(): void {
    this.isClosed = true
    for (const { child } of this.nodes) {
      if (child?.exitCode === null) child.kill('SIGKILL')
    }
  }

  private async add(role: NodeRole, zone: string): Promise<PlatformNode> {
    const isDispatch = role === NodeRole.Dispatch
    const number = isDispatch ? this.nextDispatch++ : FIRST_ENTRY + ZONES.indexOf(zone)
    const name = `${role}-${number}`
    const node: PlatformNode = {
      name,
      role,
      zone,
      // A network of its own for each run.
      host: `127.${16 + (process.pid % 200)}.${Math.floor(process.pid / 200) % 250}.${number + (isDispatch ? 100 : 0)}`,
      linkPort: FIRST_LINK_PORT + (isDispatch ? FIRST_ENTRY + ZONES.length : 0) + number,
      folder: path.join(this.options.folder, name),
      child: undefined,
      isBusy: false,
      incarnation: 0,
    }
    await this.links.add(node, this.nodes)
    this.nodes.push(node)
    return node
  }

  private settingsOf({ name, host, zone, linkPort, folder, role }: PlatformNode, isFirst: boolean) {
    const interfaces =
      role === NodeRole.Dispatch
        ? { dataFolder: folder, control: `${host}:${PORTS.control}` }
        : { callers: `${host}:${PORTS.callers}`, readiness: `${host}:${PORTS.readiness}` }
    return {
      name,
      host,
      zone,
      linkPort,
      metricsPort: PORTS.metrics,
      seeds: this.seeds,
      firstStart: isFirst,
      toleratedLosses: 1,
      ...interfaces,
      heartbeatMs: HEARTBEAT_MS,
      maxLeaseMs: 1_000,
      resubmitDelayMs: 1_300,
      without: ['late_service', 'priority_shares', 'uneven_endpoints', 'leader_knowledge'],
      stopGraceMs: 6_000,
    }
  }
}

async function ended(child: ChildProcess): Promise<void> {
  if (child.exitCode !== null || child.signalCode !== null) return
  await new Promise((resolve) => child.once('exit', resolve))
}
