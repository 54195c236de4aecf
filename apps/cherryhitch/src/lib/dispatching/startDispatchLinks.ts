import { hostOf, instanceAt } from '@cherryhitch/dispatch'
import type { Envelope } from '@cherryhitch/protocol'
import { startLinkHost } from '@cherryhitch/rpc'
import type { LinkError, LinkHost, LinkTuning } from '@cherryhitch/rpc'
import type { DispatchSettings } from '@cherryhitch/settings'
import { Effect } from 'effect'
import type { Scope } from 'effect'

/**
 * Detection of a silent connection within 0.6 s, below the deadlines of callers (1.5 s). What
 * waits for a peer longer than an election is of no use to it any more.
 */
const TUNING: Partial<LinkTuning> = {
  silentAfterMs: 350,
  probeTimeoutMs: 250,
  keepAliveMs: 250,
  reconnectMaxMs: 400,
  staleAfterMs: 1_200,
}

/** @internal */
export interface DispatchLinksOptions {
  readonly settings: DispatchSettings
  readonly boot: number
  readonly onEnvelope: (from: string, boot: number, message: Envelope) => void
  readonly log: (line: string) => void
}

/** The links of an instance to those that discovery finds. @internal */
export class DispatchLinks {
  constructor(
    private readonly host: LinkHost,
    private readonly port: number,
  ) {}

  send(to: string, message: Envelope): void {
    this.host.send(to, message)
  }

  setPeers(instances: readonly string[]): void {
    const { port } = this
    this.host.setPeers(instances.map((instance) => ({ instance, host: hostOf(instance), port })))
  }

  drain(limitMs: number): Effect.Effect<boolean> {
    return this.host.drain(limitMs)
  }

  counters(): Record<string, number> {
    return { ...this.host.counters() }
  }
}

/** @internal */
export function startDispatchLinks({
  settings,
  boot,
  onEnvelope,
  log,
}: DispatchLinksOptions): Effect.Effect<DispatchLinks, LinkError, Scope.Scope> {
  const { host, linkPort: port } = settings
  const started = startLinkHost({
    ...TUNING,
    instance: instanceAt(host),
    boot,
    listen: { host, port },
    peers: [],
    onEnvelope,
    onLinkUp: (peer) => {
      log(`${peer} is reached`)
    },
    onLinkDown: (peer) => {
      log(`${peer} is lost`)
    },
    onStaleBoot: (from, staleBoot) => {
      log(`an earlier process of ${from} sends (boot ${staleBoot})`)
    },
    log,
  })
  return Effect.map(started, (links) => new DispatchLinks(links, port))
}
