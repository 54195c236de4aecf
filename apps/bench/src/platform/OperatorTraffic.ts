import { setTimeout as sleep } from 'node:timers/promises'
import { STAND_IN_CONFIG_PATH, standInConfig, standInVersionOf } from '@cherryhitch/platform'
import type { StandInRoute } from '@cherryhitch/platform'
import type { SeededRandom } from '@cherryhitch/stand-ins'
import type { PlatformCluster } from './PlatformCluster'
import type { RunRecord } from './RunRecord'
import type { ForbiddenConfig, SentConfig } from './SentConfig'
import { newestAcked } from './SentConfig'
import { callHttp } from './callHttp'
import type { EndedCall } from './callHttp'

export interface ConfigRead {
  readonly node: string
  readonly sentAtMs: number
  readonly version: number
  readonly body: string
}

export const SERVICES = ['service-a', 'service-b']
export const BASE_PREFIX = '/base/'
const TIMEOUT_MS = 1_000
const MAX_REDIRECTS = 2
const FIRST_BACKOFF_MS = 50
const MAX_BACKOFF_MS = 500
/** A change is sent again for so long, if nothing newer was acknowledged. */
const RESEND_LIMIT_MS = 15_000
const FIRST_LIMIT_MS = 60_000
const MAX_OPEN = 8
const MAX_ROUTES = 12
const MANY_ROUTES = 350
const STORM_CHANGES = 6
const ROUTE_TIMEOUT_MS = 1_500

/** Answers that end a change. */
const refusals = [400, 409, 412, 413, 422]

enum ChangeKind {
  Routes = 'routes',
  Swap = 'swap',
  Storm = 'storm',
  Race = 'race',
  OtherContent = 'other content',
  Older = 'older',
  Repeated = 'repeated',
  Invalid = 'invalid',
  ManyRoutes = 'many routes',
}

const kinds = [
  { kind: ChangeKind.Routes, weight: 8 },
  { kind: ChangeKind.Swap, weight: 3 },
  { kind: ChangeKind.Storm, weight: 1 },
  { kind: ChangeKind.Race, weight: 2 },
  { kind: ChangeKind.OtherContent, weight: 2 },
  { kind: ChangeKind.Older, weight: 2 },
  { kind: ChangeKind.Repeated, weight: 1 },
  { kind: ChangeKind.Invalid, weight: 2 },
  { kind: ChangeKind.ManyRoutes, weight: 0.5 },
]

/** Sends configurations and reads them, at any node, as the platform's operator does. */
export class OperatorTraffic {
  readonly sent = new Map<number, SentConfig>()
  readonly forbidden: ForbiddenConfig[] = []
  readonly reads: ConfigRead[] = []
  readonly violations: string[] = []
  /** Prefixes of routes that were removed. */
  readonly dropped: string[] = []
  routes: readonly StandInRoute[]
  /** Ends the changes; reads go on. */
  isOver = false
  isReadOver = false
  private version = 0
  private open = 0
  private onAck: (() => void)[] = []

  constructor(
    private readonly cluster: PlatformCluster,
    private readonly record: RunRecord,
    private readonly random: SeededRandom,
  ) {
    this.routes = [this.makeRoute(BASE_PREFIX)]
  }

  newest(): number {
    return newestAcked(this.sent.values(), Infinity)
  }

  /** Resolves at the next acknowledgement. */
  nextAck(): Promise<void> {
    return new Promise((resolve) => this.onAck.push(resolve))
  }

  /** @throws Error if it isn't acknowledged */
  async sendFirst(): Promise<void> {
    const untilMs = this.record.now() + FIRST_LIMIT_MS
    const first = this.makeNext()
    while (first.ackedAtMs === undefined && this.record.now() < untilMs) await this.send(first)
    if (first.ackedAtMs === undefined)
      throw new Error('the first configuration is not acknowledged')
  }

  /** Sends changes at drawn times, until it is over. */
  async run(): Promise<void> {
    while (!this.isOver) {
      await sleep(this.random.between(300, 1_200))
      if (this.open < MAX_OPEN) this.change(this.random.pickWeighted(kinds).kind)
    }
  }

  async readAll(): Promise<void> {
    while (!this.isReadOver) {
      await sleep(this.random.between(20, 120))
      void this.read()
    }
  }

  /** @returns what was read, undefined after any answer but 200 */
  async read(): Promise<ConfigRead | undefined> {
    const node = this.random.pick(this.cluster.dispatchers)
    const sentAtMs = this.record.now()
    const call = await this.follow(this.cluster.controlOf(node), 'GET')
    if (call.status !== 200) return undefined
    const { body } = call
    const read = { node: node.name, sentAtMs, version: standInVersionOf(body) ?? -1, body }
    this.reads.push(read)
    return read
  }

  private change(kind: ChangeKind): void {
    this.record.add(`change: ${kind}`)
    switch (kind) {
      case ChangeKind.Routes:
        this.changeRoutes(1)
        return
      case ChangeKind.Swap:
        this.swap()
        return
      case ChangeKind.Storm:
        for (let n = 0; n < STORM_CHANGES; n++) this.changeRoutes(1)
        return
      case ChangeKind.Race:
        this.changeRoutes(1)
        this.swap()
        return
      case ChangeKind.OtherContent:
        void this.sendOther()
        return
      case ChangeKind.Older:
        void this.sendOlder()
        return
      case ChangeKind.Repeated:
        void this.repeat()
        return
      case ChangeKind.Invalid:
        void this.sendInvalid()
        return
      case ChangeKind.ManyRoutes:
        this.changeRoutes(MANY_ROUTES)
        return
    }
  }

  private changeRoutes(count: number): void {
    const kept = [...this.routes]
    while (kept.length > MAX_ROUTES || (kept.length > 3 && this.random.chance(0.5))) {
      const [gone] = kept.splice(this.random.integer(1, kept.length - 1), 1)
      if (gone !== undefined) this.dropped.push(gone.prefix)
    }
    const base = this.version + 1
    const added = Array.from({ length: count }, (_, n) => this.makeRoute(`/v${base}-${n}/`))
    this.routes = [...kept, ...added]
    void this.send(this.makeNext())
  }

  private swap(): void {
    this.routes = this.routes.map((route) => {
      const [service = ''] = SERVICES.filter((each) => each !== route.service)
      return this.random.chance(0.6) ? { ...route, service } : route
    })
    void this.send(this.makeNext())
  }

  private makeRoute(prefix: string): StandInRoute {
    return { prefix, service: this.random.pick(SERVICES), timeoutMs: ROUTE_TIMEOUT_MS }
  }

  private nextVersion(): number {
    this.version += this.random.integer(1, 5)
    return this.version
  }

  private makeNext(): SentConfig {
    const version = this.nextVersion()
    const config: SentConfig = {
      version,
      body: standInConfig(version, this.routes, SERVICES),
      routes: new Map(this.routes.map(({ prefix, service }) => [prefix, service])),
      sentAtMs: this.record.now(),
      ackedAtMs: undefined,
    }
    this.sent.set(version, config)
    return config
  }

  private async send(config: SentConfig): Promise<void> {
    this.open++
    const status = await this.putUntilClear(config.version, config.body)
    this.open--
    if (status === 200) {
      config.ackedAtMs ??= this.record.now()
      for (const resolve of this.onAck.splice(0)) resolve()
    } else if (status !== 0) {
      this.violations.push(`the valid version ${config.version} was answered ${status}`)
    }
  }

  private async sendOther(): Promise<void> {
    const version = this.newest()
    const prefix = `/other${version}/`
    const body = standInConfig(version, [...this.routes, this.makeRoute(prefix)], SERVICES)
    this.forbidden.push({ version, prefix, body })
    await this.putUntilClear(version, body)
  }

  private async sendOlder(): Promise<void> {
    const older = [...this.sent.values()].filter(({ ackedAtMs }) => ackedAtMs !== undefined)
    const { version, body } = this.random.pick(older)
    const status = await this.putUntilClear(version, body)
    if (status !== 0 && status !== 200) {
      this.violations.push(`the accepted version ${version}, sent again, was answered ${status}`)
    }
  }

  private async repeat(): Promise<void> {
    const config = this.sent.get(this.newest())
    if (config === undefined) return
    const status = await this.putUntilClear(config.version, config.body)
    if (status !== 0 && status !== 200) {
      this.violations.push(`version ${config.version}, sent again, was answered ${status}`)
    }
  }

  private async sendInvalid(): Promise<void> {
    const version = this.nextVersion()
    const prefix = `/invalid${version}/`
    const route = this.makeRoute(prefix)
    const whole = (routes: readonly StandInRoute[]): string =>
      standInConfig(version, routes, SERVICES)
    const body = this.random.pick([
      whole([route, { ...route, service: 'unknown' }]),
      whole([route, route]),
      whole([{ ...route, timeoutMs: 0 }]),
      whole([route]).slice(0, -this.random.integer(1, 200)),
    ])
    this.forbidden.push({ version, prefix, body })
    const status = await this.putUntilClear(version, body)
    if (status === 200) this.violations.push(`the invalid version ${version} was acknowledged`)
  }

  /** @returns the status that ended it, 0 if none did */
  private async putUntilClear(version: number, body: string): Promise<number> {
    const untilMs = this.record.now() + RESEND_LIMIT_MS
    let backoffMs = FIRST_BACKOFF_MS
    while (this.record.now() < untilMs && !this.isOver) {
      const node = this.random.pick(this.cluster.dispatchers)
      const call = await this.follow(this.cluster.controlOf(node), 'PUT', body)
      this.record.noteCall(`PUT ${version} at ${node.name}`, call)
      if (call.status === 200 || refusals.includes(call.status)) return call.status
      await sleep(backoffMs)
      backoffMs = Math.min(2 * backoffMs, MAX_BACKOFF_MS)
    }
    return 0
  }

  private async follow(first: string, method: string, body?: string): Promise<EndedCall> {
    let address = first
    let path = STAND_IN_CONFIG_PATH
    for (let redirects = 0; ; redirects++) {
      const content = body === undefined ? {} : { body }
      const call = await callHttp({ address, method, path, ...content, timeoutMs: TIMEOUT_MS })
      if (call.status !== 307 || call.location === undefined || redirects === MAX_REDIRECTS) {
        return call
      }
      const url = new URL(call.location)
      address = url.host
      path = url.pathname
    }
  }
}
