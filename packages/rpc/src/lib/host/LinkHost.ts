import type { Envelope } from '@cherryhitch/protocol'
import { Effect, Exit, Option, Schedule, Scope } from 'effect'
import type { RunningPeerLink, StartPeerLinkOptions } from '../peer/startPeerLink'
import { startPeerLink } from '../peer/startPeerLink'
import type { LinkCounters } from './LinkCounters'
import type { LinkPeer } from './LinkHostOptions'
import type { SelfDelivery } from './startSelfDelivery'

/** What every link of a host has in common. */
export type SharedLinkOptions = Omit<StartPeerLinkOptions, 'peer' | 'target' | 'firstSequence'>

const DRAIN_POLL_MS = 5
/**
 * Links are looked after this often at least, in milliseconds: what makes something due, such as a
 * batch that gets no receipt, takes longer than that to be so.
 */
const MAX_TICK_MS = 200

interface PeerEntry {
  readonly target: LinkPeer
  readonly link: RunningPeerLink
  readonly scope: Scope.Closeable
}

/**
 * The links of one instance: one outgoing to each peer, and the listening socket.
 *
 * Made by `startLinkHost`; it closes with the scope.
 *
 * @public
 */
export class LinkHost {
  readonly #peers = new Map<string, PeerEntry>()
  /** Receivers drop sequences that they have seen, so a peer that returns goes on counting. */
  readonly #nextSequences = new Map<string, number>()

  /** @internal */
  constructor(
    /** The port that is listened on. */
    readonly port: number,
    private readonly shared: SharedLinkOptions,
    private readonly selfDelivery: SelfDelivery,
  ) {}

  /**
   * Queues an envelope for an instance, itself included; never blocks.
   *
   * @returns false when it was dropped, and counted: no such peer, full queue, too large. True
   * is no promise of delivery: a peer that stays unreachable loses its oldest envelopes.
   */
  send(to: string, envelope: Envelope): boolean {
    if (to === this.shared.instance) return this.selfDelivery(envelope)
    const entry = this.#peers.get(to)
    if (entry !== undefined) return entry.link.send(envelope)
    this.shared.counters.dropped += 1
    return false
  }

  /** Replaces the list of peers. Links to peers that stay are not touched. */
  setPeers(peers: readonly LinkPeer[]): void {
    const wanted = new Map(peers.map((peer) => [peer.instance, peer]))
    wanted.delete(this.shared.instance)
    for (const [name, entry] of [...this.#peers]) {
      if (!isSameTarget(entry.target, wanted.get(name))) this.#remove(name, entry)
    }
    for (const peer of wanted.values()) {
      if (!this.#peers.has(peer.instance)) this.#add(peer)
    }
  }

  /**
   * Lets all links look after their connections. One timer serves all, so that an instance with many
   * peers doesn't wake up for each of them.
   *
   * @returns after how many milliseconds to call it again
   * @internal
   */
  tick(): number {
    const now = this.shared.clock.now()
    let dueAt = now + MAX_TICK_MS
    for (const { link } of this.#peers.values()) {
      link.tick()
      dueAt = Math.min(dueAt, link.tickDueAt())
    }
    return Math.max(this.shared.tickMs, dueAt - now)
  }

  /** Smoothed round trip of a batch and its receipt, in milliseconds; 0 when not known. */
  roundTripMs(peer: string): number {
    return this.#peers.get(peer)?.link.roundTripMs() ?? 0
  }

  isUp(peer: string): boolean {
    return this.#peers.get(peer)?.link.isUp() ?? false
  }

  /** Envelopes, over all peers, whose receipt has not come. */
  outstanding(): number {
    let total = 0
    for (const { link } of this.#peers.values()) total += link.outstanding()
    return total
  }

  /** Waits until all receipts came, or the limit passed; says which. For a graceful shutdown. */
  drain(limitMs: number): Effect.Effect<boolean> {
    const isEmpty = Effect.sync(() => this.outstanding() === 0)
    const wait = Effect.repeat(isEmpty, {
      schedule: Schedule.spaced(DRAIN_POLL_MS),
      until: (done) => done,
    })
    return Effect.map(Effect.timeoutOption(wait, limitMs), Option.isSome)
  }

  /** A copy of the present counts. */
  counters(): LinkCounters {
    return { ...this.shared.counters }
  }

  #add(target: LinkPeer): void {
    const { instance: peer } = target
    const scope = Scope.makeUnsafe()
    const firstSequence = this.#nextSequences.get(peer) ?? 1
    const start = startPeerLink({ ...this.shared, peer, target, firstSequence })
    const link = Effect.runSync(Scope.provide(start, scope))
    this.#peers.set(peer, { target, link, scope })
    // Dials at once.
    link.tick()
  }

  #remove(name: string, { link, scope }: PeerEntry): void {
    this.#nextSequences.set(name, link.nextSequence())
    this.#peers.delete(name)
    Effect.runFork(Scope.close(scope, Exit.void))
  }
}

function isSameTarget(target: LinkPeer, wanted: LinkPeer | undefined): boolean {
  return target.host === wanted?.host && target.port === wanted.port
}
