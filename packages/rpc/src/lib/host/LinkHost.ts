import type { Envelope } from '@cherryhitch/protocol'
import { Effect, Exit, Option, Schedule, Scope } from 'effect'
import type { RunningPeerLink, StartPeerLinkOptions } from '../peer/startPeerLink'
import { startPeerLink } from '../peer/startPeerLink'
import type { LinkCounters } from './LinkCounters'
import type { LinkPeer } from './LinkHostOptions'
import type { SelfDelivery } from './startSelfDelivery'

/** Options that all links of a host share. */
export type SharedLinkOptions = Omit<StartPeerLinkOptions, 'peer' | 'target' | 'firstSequence'>

const DRAIN_POLL_MS = 5
/**
 * Longest interval between ticks, in milliseconds. An event may start a timeout between two ticks,
 * such as that for the receipt of a batch, but all of these timeouts are longer than the interval.
 */
const MAX_TICK_MS = 200

interface PeerEntry {
  readonly target: LinkPeer
  readonly link: RunningPeerLink
  readonly scope: Scope.Closeable
}

/**
 * The links of one instance: one outgoing link to each peer, and the listening socket.
 *
 * Created by `startLinkHost`; it closes with the scope.
 *
 * @public
 */
export class LinkHost {
  readonly #peers = new Map<string, PeerEntry>()
  /**
   * Next sequence of each removed peer. Receivers drop sequences that they have seen before, so the
   * numbering must continue if the peer is added again.
   */
  readonly #nextSequences = new Map<string, number>()

  /** @internal */
  constructor(
    /** The listening port. */
    readonly port: number,
    private readonly shared: SharedLinkOptions,
    private readonly selfDelivery: SelfDelivery,
  ) {}

  /**
   * Queues an envelope for an instance, which may be this one. Never blocks.
   *
   * @returns false if the envelope was dropped, which is counted: unknown peer, full queue or
   * envelope too large. True does not guarantee delivery: the oldest envelopes for a peer that
   * stays unreachable are dropped.
   */
  send(to: string, envelope: Envelope): boolean {
    if (to === this.shared.instance) return this.selfDelivery(envelope)
    const entry = this.#peers.get(to)
    if (entry !== undefined) return entry.link.send(envelope)
    this.shared.counters.dropped += 1
    return false
  }

  /** Replaces the list of peers. Links to peers whose address is unchanged are kept. */
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
   * Ticks all links. A single timer serves them all, so that an instance with many peers doesn't
   * wake up for each of them.
   *
   * @returns the delay until the next call, in milliseconds
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

  /** Smoothed time from sending a batch to its receipt, in milliseconds; 0 if unknown. */
  roundTripMs(peer: string): number {
    return this.#peers.get(peer)?.link.roundTripMs() ?? 0
  }

  isUp(peer: string): boolean {
    return this.#peers.get(peer)?.link.isUp() ?? false
  }

  /** Number of envelopes for all peers that are waiting or have no receipt yet. */
  outstanding(): number {
    let total = 0
    for (const { link } of this.#peers.values()) total += link.outstanding()
    return total
  }

  /**
   * Waits until no envelopes are outstanding or the limit has passed. For a graceful shutdown.
   *
   * @returns false if the limit has passed
   */
  drain(limitMs: number): Effect.Effect<boolean> {
    const isEmpty = Effect.sync(() => this.outstanding() === 0)
    const wait = Effect.repeat(isEmpty, {
      schedule: Schedule.spaced(DRAIN_POLL_MS),
      until: (done) => done,
    })
    return Effect.map(Effect.timeoutOption(wait, limitMs), Option.isSome)
  }

  /** A copy of the current counters. */
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
    // Dials immediately instead of at the next tick.
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
