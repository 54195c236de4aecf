import { exhaustive } from '@cherryhitch/model'
import { encodeText, wrapMessage } from '@cherryhitch/protocol'
import type { Envelope } from '@cherryhitch/protocol'
import { startMailbox } from '@cherryhitch/runtime'
import type { Clock, Mailbox } from '@cherryhitch/runtime'
import { Effect } from 'effect'
import type { Scope } from 'effect'
import type { LinkHandlers, LinkPeer, LinkTls } from '../host/LinkHostOptions'
import { estimateBytes } from './estimateBytes'
import { LinkConnection } from './LinkConnection'
import { PeerLink } from './PeerLink'
import type { PeerLinkOptions } from './PeerLink'
import type { PeerLinkAction } from './PeerLinkAction'
import { PeerLinkActionKind } from './PeerLinkAction'
import type { PeerLinkEvent } from './PeerLinkEvent'
import { PeerLinkEventKind } from './PeerLinkEvent'

/** @internal */
export interface StartPeerLinkOptions extends PeerLinkOptions {
  readonly target: LinkPeer
  readonly instance: string
  readonly boot: number
  readonly token: string | undefined
  readonly tls: LinkTls | undefined
  readonly clock: Clock
  readonly handlers: LinkHandlers
}

/** Handle of a running link. @internal */
export interface RunningPeerLink {
  /** Never blocks. Returns false if the envelope was refused, which is counted. */
  readonly send: (envelope: Envelope) => boolean
  readonly roundTripMs: () => number
  readonly isUp: () => boolean
  /** Number of envelopes without a receipt, including those not sent yet. */
  readonly outstanding: () => number
  readonly nextSequence: () => number
  /** Must be called at `tickDueAt`, and at least every 200 ms. */
  readonly tick: () => void
  readonly tickDueAt: () => number
}

const TICK = Symbol('tick')
type LinkMessage = PeerLinkEvent | typeof TICK

/** Starts the link to one peer. It closes with the scope. @internal */
export function startPeerLink(
  options: StartPeerLinkOptions,
): Effect.Effect<RunningPeerLink, never, Scope.Scope> {
  const { handlers, peer } = options
  return Effect.gen(function* () {
    const mailbox: Mailbox<LinkMessage> = yield* startMailbox<LinkMessage>({
      handleBatch: (messages) => {
        runner.handle(messages)
      },
      onDefect: (defect) => {
        handlers.log(`link to ${peer} stopped after an unexpected error: ${String(defect)}`)
        runner.closeAll()
      },
    })
    const runner = new PeerLinkRunner(options, mailbox.tell)
    yield* Effect.addFinalizer(() =>
      Effect.sync(() => {
        runner.closeAll()
      }),
    )
    const tick = (): void => {
      if (runner.needsTick()) mailbox.tell(TICK)
    }
    return { ...runner.createHandle(), tick }
  })
}

/** Performs the actions of the state machine. Only the mailbox calls `handle`. */
class PeerLinkRunner {
  readonly #machine: PeerLink
  readonly #connections = new Map<number, LinkConnection>()
  /** Number of envelopes in the mailbox that the state machine has not handled yet. */
  #unhandled = 0

  constructor(
    private readonly options: StartPeerLinkOptions,
    private readonly tell: (event: PeerLinkEvent) => void,
  ) {
    this.#machine = new PeerLink(options)
  }

  handle(messages: readonly LinkMessage[]): void {
    const now = this.options.clock.now()
    const events = messages.filter((item) => item !== TICK)
    const isTickDue = events.length < messages.length
    this.#unhandled = 0
    this.#performAll(this.#machine.stepAll(now, events))
    if (isTickDue) this.#performAll(this.#machine.tick(now))
  }

  /** If no tick is needed, only records that this process is not stalled, and returns false. */
  needsTick(): boolean {
    const now = this.options.clock.now()
    if (this.#machine.needsTick(now)) return true
    this.#machine.recordAwake(now)
    return false
  }

  createHandle(): Omit<RunningPeerLink, 'tick'> {
    return {
      send: (envelope) => this.#send(envelope),
      roundTripMs: () => this.#machine.roundTripMs,
      isUp: () => this.#machine.isUp,
      outstanding: () => this.#machine.outbox.size + this.#unhandled,
      nextSequence: () => this.#machine.outbox.nextSequence,
      tickDueAt: () => this.#machine.tickDueAt,
    }
  }

  closeAll(): void {
    for (const connection of this.#connections.values()) connection.close()
    this.#connections.clear()
  }

  #send(envelope: Envelope): boolean {
    const { counters, handlers, maxEnvelopeBytes, peer } = this.options
    const encoded = encodeBody(envelope)
    const bytes = estimateBytes(encoded)
    if (bytes > maxEnvelopeBytes) {
      counters.oversized += 1
      const kind = envelope.body.case ?? 'empty'
      handlers.log(`${peer}: ${kind} of ${bytes} bytes not sent, the limit is ${maxEnvelopeBytes}`)
      return false
    }
    // While the peer is down, old envelopes are dropped for new ones, so there is always room.
    if (this.#machine.isUp && !this.#machine.outbox.hasRoomFor(bytes, this.#unhandled)) {
      counters.dropped += 1
      return false
    }
    this.#unhandled += 1
    this.tell({ kind: PeerLinkEventKind.EnvelopeQueued, envelope: encoded, bytes })
    return true
  }

  #performAll(actions: readonly PeerLinkAction[]): void {
    for (const action of actions) this.#perform(action)
  }

  #perform(action: PeerLinkAction): void {
    const { handlers, peer } = this.options
    switch (action.kind) {
      case PeerLinkActionKind.Dial:
        this.#dial(action.connection)
        return
      case PeerLinkActionKind.Close:
        this.#connections.get(action.connection)?.close()
        this.#connections.delete(action.connection)
        return
      case PeerLinkActionKind.SendBatch:
        this.#connections.get(action.connection)?.send(action.sequence, action.envelopes)
        return
      case PeerLinkActionKind.ReportUp:
        this.#callHandler(() => {
          handlers.onLinkUp(peer, action.roundTripMs)
        })
        return
      case PeerLinkActionKind.ReportDown:
        this.#callHandler(() => {
          handlers.onLinkDown(peer)
        })
        return
      case PeerLinkActionKind.Log:
        handlers.log(action.line)
        return
      default:
        exhaustive(action)
    }
  }

  /** Catches errors of handlers, which must not end the fiber of the link. */
  #callHandler(call: () => void): void {
    try {
      call()
    } catch (err) {
      this.options.counters.handlerErrors += 1
      this.options.handlers.log(
        `link state handler for ${this.options.peer} failed: ${String(err)}`,
      )
    }
  }

  #dial(id: number): void {
    const { target, instance, boot, token, tls } = this.options
    const connection = new LinkConnection({
      peer: target,
      instance,
      boot,
      token,
      tls,
      onOpen: () => {
        this.tell({ kind: PeerLinkEventKind.ConnectionOpened, connection: id })
      },
      onReceipt: (sequence, receiver) => {
        const receipt = { connection: id, sequence, boot: receiver }
        this.tell({ kind: PeerLinkEventKind.ReceiptArrived, ...receipt })
      },
    })
    this.#connections.set(id, connection)
    // The promise never rejects, and it settles when the connection is closed.
    void connection.run().then((end) => {
      this.#connections.delete(id)
      this.tell({ kind: PeerLinkEventKind.ConnectionClosed, connection: id, ...end })
    })
  }
}

/** Encodes the most frequent messages early, so that each of them is queued as a single string. */
function encodeBody(envelope: Envelope): Envelope {
  const text = encodeText(envelope.body)
  return text === undefined ? envelope : wrapMessage({ case: 'text', value: text })
}
