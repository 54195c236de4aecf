import { hostOf } from '@cherryhitch/dispatch'
import type { Envelope } from '@cherryhitch/protocol'
import { startLinkHost } from '@cherryhitch/rpc'
import type { LinkError, LinkHost, LinkTuning } from '@cherryhitch/rpc'
import { Effect } from 'effect'
import type { Scope } from 'effect'
import type { ProcessContext } from './openProcess'

/**
 * A silent connection is found out well before callers give up. What waits for a peer longer than an
 * election is of no use to it any more.
 */
const TUNING: Partial<LinkTuning> = {
  silentAfterMs: 350,
  probeTimeoutMs: 250,
  // Announcements go over each link once a second at least, and ask for an answer themselves.
  keepAliveMs: 1_100,
  reconnectMaxMs: 400,
  staleAfterMs: 1_200,
  tickMs: 50,
  // One receipt for many batches: with one for each, half of all frames are receipts. A link is taken
  // for silent three times later.
  receiptGapMs: 120,
  // What is sent within the gap of receipts, four times over.
  maxBatchesInFlight: 128,
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
  { settings, instance, boot, telemetry }: ProcessContext,
  onEnvelope: (from: string, boot: number, message: Envelope) => void,
): Effect.Effect<DispatchLinks, LinkError, Scope.Scope> {
  const { host, linkPort: port } = settings
  const log = telemetry.lines('links')
  const started = startLinkHost({
    ...TUNING,
    instance,
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
  return Effect.map(started, (links) => {
    telemetry.metrics.registerCounters('links', 'Counted by the links.', () => {
      return { ...links.counters() }
    })
    return new DispatchLinks(links, port)
  })
}
