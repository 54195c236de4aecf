import net from 'node:net'
import type { Socket } from 'node:net'
import { Effect } from 'effect'
import type { Scope } from 'effect'
import { ListenError } from '../util/ListenError'
import { splitAddress } from '@cherryhitch/model'
import { SeededRandom } from '../util/SeededRandom'
import { LinkPipe } from './LinkPipe'
import { resetSocket } from './resetSocket'

/** @public */
export interface FaultyLinkOptions {
  /** Host and port that the link leads to. */
  readonly target: string
  readonly host: string
  /** 0 takes a free one. */
  readonly port: number
  /** Milliseconds one way. */
  readonly delayMs: number
  /** Up to this much more, evenly drawn for each chunk. */
  readonly jitterMs: number
  readonly seed: number
}

/** @public */
export const defaultFaultyLinkOptions: Omit<FaultyLinkOptions, 'target'> = {
  host: '127.0.0.1',
  port: 0,
  delayMs: 0,
  jitterMs: 0,
  seed: 1,
}

/** Which connections a fault meets. @public */
export enum LinkScope {
  /** Those open now: something on the way lost track of them. */
  Open = 'open',
  /** Those open now and all new ones until the link heals: a partition. */
  All = 'all',
}

/** Which bytes a fault meets. @public */
export enum LinkDirection {
  TowardsTarget = 'towards_target',
  FromTarget = 'from_target',
  Both = 'both',
}

/** How a cut link treats new connections. @public */
export enum CutKind {
  /** Nothing listens. */
  Refuse = 'refuse',
  /** They are accepted and reset. */
  Reset = 'reset',
}

interface LinkedPair {
  readonly near: Socket
  readonly far: Socket
  readonly towards: LinkPipe
  readonly from: LinkPipe
}

/** A TCP pass-through on loopback that delays, falls silent and breaks on command. @public */
export class FaultyLink {
  private readonly server: net.Server
  private readonly pairs = new Set<LinkedPair>()
  private readonly random: SeededRandom
  private delayMs: number
  private jitterMs: number
  private resets = false
  private silentFor: LinkDirection | undefined
  private stalled = false
  private listenPort: number
  private closed = false

  /** @internal */
  constructor(private readonly options: FaultyLinkOptions) {
    this.random = new SeededRandom(options.seed)
    this.delayMs = options.delayMs
    this.jitterMs = options.jitterMs
    this.listenPort = options.port
    this.server = net.createServer({ allowHalfOpen: true, noDelay: true }, (near) => {
      this.connect(near)
    })
  }

  /** Host and port where the link is entered. */
  get address(): string {
    return `${this.options.host}:${this.listenPort}`
  }

  get openConnections(): number {
    return this.pairs.size
  }

  /** Milliseconds one way, from the next chunk on. */
  setDelay(delayMs: number, jitterMs = 0): void {
    this.delayMs = delayMs
    this.jitterMs = jitterMs
  }

  /** Stops forwarding without closing anything; silenced connections never come back. */
  silence(scope: LinkScope, direction = LinkDirection.Both): void {
    for (const pair of this.pairs) silencePair(pair, direction)
    if (scope === LinkScope.All) this.silentFor = direction
  }

  /**
   * Holds back all bytes and closes, on open connections and new ones, until the link heals;
   * then they arrive late, as after a partition that TCP outlasts.
   */
  stall(): void {
    this.stalled = true
    for (const pair of this.pairs) stallPair(pair)
  }

  /** Silences a share of the open connections, drawn by the seed; returns how many. */
  silenceSome(share: number): number {
    const chosen = [...this.pairs].filter(() => this.random.chance(share))
    for (const pair of chosen) silencePair(pair, LinkDirection.Both)
    return chosen.length
  }

  /** Resets what is open, and refuses or resets new connections until the link heals. */
  cut(kind: CutKind): void {
    this.resets = true
    this.resetOpen()
    if (kind === CutKind.Refuse) this.server.close()
  }

  /** New connections work again, and stalled ones go on. */
  heal(): Effect.Effect<void, ListenError> {
    return Effect.suspend(() => {
      this.resets = false
      this.silentFor = undefined
      this.stalled = false
      for (const { towards, from } of this.pairs) {
        towards.goOn()
        from.goOn()
      }
      return this.closed || this.server.listening ? Effect.void : this.listen()
    })
  }

  /** @internal */
  listen(): Effect.Effect<void, ListenError> {
    return Effect.callback((resume) => {
      const onError = (err: Error): void => {
        resume(Effect.fail(new ListenError(err.message)))
      }
      this.server.once('error', onError)
      this.server.listen(this.listenPort, this.options.host, () => {
        this.server.off('error', onError)
        const address = this.server.address()
        if (address !== null && typeof address !== 'string') this.listenPort = address.port
        resume(Effect.void)
      })
    })
  }

  close(): void {
    this.closed = true
    this.server.close()
    for (const pair of this.pairs) {
      pair.near.destroy()
      pair.far.destroy()
    }
  }

  private connect(near: Socket): void {
    if (this.resets) {
      resetSocket(near)
      return
    }
    const far = net.connect({
      ...splitAddress(this.options.target),
      allowHalfOpen: true,
      noDelay: true,
    })
    const delay = (): number => this.delayMs + this.random.next() * this.jitterMs
    const pair: LinkedPair = {
      near,
      far,
      towards: new LinkPipe(near, far, delay),
      from: new LinkPipe(far, near, delay),
    }
    this.pairs.add(pair)
    this.forgetWhenClosed(pair)
    if (this.silentFor !== undefined) silencePair(pair, this.silentFor)
    if (this.stalled) stallPair(pair)
  }

  private forgetWhenClosed(pair: LinkedPair): void {
    const forget = (): void => {
      if (pair.near.closed && pair.far.closed) this.pairs.delete(pair)
    }
    for (const socket of [pair.near, pair.far]) {
      // The close that follows is forwarded by the pipes.
      socket.on('error', () => undefined)
      socket.on('close', forget)
    }
  }

  private resetOpen(): void {
    for (const { near, far } of this.pairs) {
      resetSocket(near)
      resetSocket(far)
    }
  }
}

function stallPair({ towards, from }: LinkedPair): void {
  towards.stall()
  from.stall()
}

function silencePair(pair: LinkedPair, direction: LinkDirection): void {
  if (direction !== LinkDirection.FromTarget) pair.towards.silence()
  if (direction !== LinkDirection.TowardsTarget) pair.from.silence()
}

/**
 * Starts a link that ends, with all its connections, when the scope closes.
 *
 * @public
 */
export function startFaultyLink(
  input: Partial<FaultyLinkOptions> & Pick<FaultyLinkOptions, 'target'>,
): Effect.Effect<FaultyLink, ListenError, Scope.Scope> {
  return Effect.gen(function* () {
    const link = new FaultyLink({ ...defaultFaultyLinkOptions, ...input })
    yield* Effect.acquireRelease(link.listen(), () =>
      Effect.sync(() => {
        link.close()
      }),
    )
    return link
  })
}
