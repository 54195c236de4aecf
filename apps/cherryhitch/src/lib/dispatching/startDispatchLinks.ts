import { hostOf } from '@cherryhitch/dispatch'
import type { Envelope } from '@cherryhitch/protocol'
import { startLinkHost } from '@cherryhitch/rpc'
import type { LinkError, LinkHost, LinkTuning } from '@cherryhitch/rpc'
import { Effect } from 'effect'
import type { Scope } from 'effect'
import { ConnectedPeers } from './ConnectedPeers'
import type { ProcessContext } from './createProcessContext'

/**
 * A dead connection is detected well before callers time out. Messages that have waited for a peer
 * longer than an election takes are dropped, as they are of no use to it any more.
 */
const LINK_TUNING: Partial<LinkTuning> = {
  silentAfterMs: 350,
  probeTimeoutMs: 250,
  // With the backoff, a link is used again some 1.2 s after a cut: a quarter of the time to catch up.
  maxProbeTimeoutMs: 750,
  // Announcements use each link at least once a second and request an answer themselves.
  keepAliveMs: 1_100,
  reconnectMaxMs: 400,
  staleAfterMs: 1_200,
  tickMs: 50,
  // Acknowledges many batches with one receipt; one for each would make up half of all frames. The
  // silence limit of a link is about three times this gap.
  receiptGapMs: 120,
  // Four times the number of batches that are sent within the receipt gap.
  maxBatchesInFlight: 128,
}

/** The links of an instance to the instances found by discovery. @internal */
export class DispatchLinks {
  constructor(
    private readonly host: LinkHost,
    private readonly port: number,
    private readonly peers: ConnectedPeers,
  ) {}

  /** Names of the instances with an open connection. */
  get connected(): readonly string[] {
    return this.peers.names
  }

  send(to: string, message: Envelope): void {
    this.host.send(to, message)
  }

  setPeers(instances: readonly string[]): void {
    const { port } = this
    this.peers.keepOnly(instances)
    this.host.setPeers(instances.map((instance) => ({ instance, host: hostOf(instance), port })))
  }

  /** Batches sent to other instances, and received from them. */
  counters(): Readonly<Record<'batchesSent' | 'batchesReceived', number>> {
    const { batchesSent, batchesReceived } = this.host.counters()
    return { batchesSent, batchesReceived }
  }

  drain(limitMs: number): Effect.Effect<boolean> {
    return this.host.drain(limitMs)
  }
}

/** @internal */
export function startDispatchLinks(
  { settings, instance, boot, now, telemetry }: ProcessContext,
  onEnvelope: (from: string, boot: number, message: Envelope) => void,
): Effect.Effect<DispatchLinks, LinkError, Scope.Scope> {
  const { host, linkPort: port } = settings
  const log = telemetry.lineLogger('links')
  const connections = new ConnectedPeers()
  const started = startLinkHost({
    ...LINK_TUNING,
    instance,
    boot,
    listen: { host, port },
    peers: [],
    onEnvelope,
    onLinkUp: (peer) => {
      const awayMs = connections.onConnected(now(), peer)
      log(`${peer} is connected${awayMs === undefined ? '' : ` after ${awayMs} ms`}`)
    },
    onLinkDown: (peer) => {
      log(`${peer} is disconnected after ${connections.onDisconnected(now(), peer)} ms`)
    },
    onStaleBoot: (from, staleBoot) => {
      log(`message from an earlier process of ${from} (boot ${staleBoot})`)
    },
    log,
  })
  return Effect.map(started, (links) => {
    telemetry.metrics.registerCounters('links', 'Counted by the links.', () => {
      return { ...links.counters(), currentPeersConnected: connections.names.length }
    })
    return new DispatchLinks(links, port, connections)
  })
}
