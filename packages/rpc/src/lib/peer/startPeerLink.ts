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
  /** Never blocks; false when the envelope was refused, and counted. */
  readonly send: (envelope: Envelope) => boolean
  readonly roundTripMs: () => number
  readonly isUp: () => boolean
  /** Envelopes without a receipt. */
  readonly outstanding: () => number
  readonly nextSequence: () => number
  /** To be called once `tickDueAt` has come, at the latest every 200 ms. */
  readonly tick: () => void
  readonly tickDueAt: () => number
}

const TICK = Symbol('tick')
type Mail = PeerLinkEvent | typeof TICK

/** Starts the owner of the link to one peer. It ends with the scope. @internal */
export function startPeerLink(
  options: StartPeerLinkOptions,
): Effect.Effect<RunningPeerLink, never, Scope.Scope> {
  const { handlers, peer } = options
  return Effect.gen(function* () {
    const mailbox: Mailbox<Mail> = yield* startMailbox<Mail>({
      take: (mail) => {
        shell.handle(mail)
      },
      onDefect: (defect) => {
        handlers.log(`the link to ${peer} ended by a defect: ${String(defect)}`)
        shell.closeAll()
      },
    })
    const shell = new PeerLinkShell(options, mailbox.tell)
    yield* Effect.addFinalizer(() =>
      Effect.sync(() => {
        shell.closeAll()
      }),
    )
    const tick = (): void => {
      if (shell.needsTick()) mailbox.tell(TICK)
    }
    return { ...shell.handleFor(), tick }
  })
}

/** Carries out what the machine decides. Only its mailbox calls `handle`. */
class PeerLinkShell {
  readonly #machine: PeerLink
  readonly #connections = new Map<number, LinkConnection>()
  /** Envelopes told to the mailbox that the machine has not seen yet. */
  #untaken = 0

  constructor(
    private readonly options: StartPeerLinkOptions,
    private readonly tell: (event: PeerLinkEvent) => void,
  ) {
    this.#machine = new PeerLink(options)
  }

  handle(mail: readonly Mail[]): void {
    const now = this.options.clock.now()
    const events = mail.filter((item) => item !== TICK)
    const isTickDue = events.length < mail.length
    this.#untaken = 0
    this.#performAll(this.#machine.stepAll(now, events))
    if (isTickDue) this.#performAll(this.#machine.tick(now))
  }

  /** False when nothing is due; the machine then only learns that this process is awake. */
  needsTick(): boolean {
    const now = this.options.clock.now()
    if (this.#machine.needsTick(now)) return true
    this.#machine.noteAwake(now)
    return false
  }

  handleFor(): Omit<RunningPeerLink, 'tick'> {
    return {
      send: (envelope) => this.#send(envelope),
      roundTripMs: () => this.#machine.roundTripMs,
      isUp: () => this.#machine.isUp,
      outstanding: () => this.#machine.outbox.size + this.#untaken,
      nextSequence: () => this.#machine.outbox.nextSequence,
      tickDueAt: () => this.#machine.tickDueAt,
    }
  }

  closeAll(): void {
    for (const connection of this.#connections.values()) connection.close()
    this.#connections.clear()
  }

  #send(envelope: Envelope): boolean {
    const { counters, maxEnvelopeBytes } = this.options
    const packed = pack(envelope)
    const bytes = estimateBytes(packed)
    if (bytes > maxEnvelopeBytes) {
      counters.oversized += 1
      return false
    }
    // A peer that is down keeps the newest envelopes, so there is always room.
    if (this.#machine.isUp && !this.#machine.outbox.hasRoomFor(bytes, this.#untaken)) {
      counters.dropped += 1
      return false
    }
    this.#untaken += 1
    this.tell({ kind: PeerLinkEventKind.EnvelopeQueued, envelope: packed, bytes })
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

  /** A handler that throws must not end the fiber of the link. */
  #callHandler(call: () => void): void {
    try {
      call()
    } catch (err) {
      this.options.counters.handlerErrors += 1
      this.options.handlers.log(`handler of ${this.options.peer} failed: ${String(err)}`)
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
    // The promise never rejects, and it ends when the connection is closed.
    void connection.run().then((end) => {
      this.#connections.delete(id)
      this.tell({ kind: PeerLinkEventKind.ConnectionClosed, connection: id, ...end })
    })
  }
}

/** Messages that are sent most are written already here, so that what waits is one text each. */
function pack(envelope: Envelope): Envelope {
  const text = encodeText(envelope.body)
  return text === undefined ? envelope : wrapMessage({ case: 'text', value: text })
}
