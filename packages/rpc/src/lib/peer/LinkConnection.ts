import net from 'node:net'
import tls from 'node:tls'
import { LinkService } from '@cherryhitch/protocol'
import type { Envelope, EnvelopeBatch } from '@cherryhitch/protocol'
import { Code, ConnectError, createClient } from '@connectrpc/connect'
import { createConnectTransport } from '@connectrpc/connect-node'
import type { LinkPeer, LinkTls } from '../host/LinkHostOptions'
import { AsyncQueue } from '../queue/AsyncQueue'
import { LinkSession } from './LinkSession'

/** @internal */
export interface LinkConnectionOptions {
  readonly peer: LinkPeer
  readonly instance: string
  readonly boot: number
  readonly token: string | undefined
  readonly tls: LinkTls | undefined
  readonly onOpen: () => void
  readonly onReceipt: (sequence: number, boot: number) => void
}

/** How a connection ended. */
export interface ConnectionEnd {
  readonly reason: string
  /** Whether the peer refused the connection, so that a quick retry would fail as well. */
  readonly refused: boolean
}

/** Receipts take a few bytes; a larger message does not come from a link receiver. */
const MAX_RECEIPT_BYTES = 1024
/** Errors from the receiver that a retry would get again. */
const permanentErrors: ReadonlySet<Code> = new Set([
  Code.Unauthenticated,
  Code.PermissionDenied,
  Code.FailedPrecondition,
  Code.InvalidArgument,
  Code.Unimplemented,
])

/** An outgoing connection with a single stream. It owns its socket. @internal */
export class LinkConnection {
  readonly #batches = new AsyncQueue<EnvelopeBatch>()
  readonly #abort = new AbortController()
  readonly #authority: string
  #session: LinkSession | undefined
  #socket: net.Socket | undefined

  constructor(private readonly options: LinkConnectionOptions) {
    const { peer } = options
    const scheme = options.tls === undefined ? 'http' : 'https'
    const host = net.isIPv6(peer.host) ? `[${peer.host}]` : peer.host
    this.#authority = `${scheme}://${host}:${peer.port}`
  }

  /** Dials, then reads receipts until the connection ends. Never rejects. */
  async run(): Promise<ConnectionEnd> {
    try {
      const receipts = this.#client().exchange(this.#batches, this.#callOptions())
      for await (const { sequence, fromBoot } of receipts) {
        this.options.onReceipt(sequence, fromBoot)
      }
      return { reason: 'closed by the peer', refused: false }
    } catch (err) {
      const failure = ConnectError.from(err)
      return { reason: failure.message, refused: permanentErrors.has(failure.code) }
    } finally {
      this.close()
    }
  }

  send(sequence: number, envelopes: readonly Envelope[]): void {
    const { instance, boot } = this.options
    this.#batches.push({
      $typeName: 'cherryhitch.v1.EnvelopeBatch',
      from: instance,
      fromBoot: boot,
      sequence,
      envelopes: [...envelopes],
    })
  }

  /** Closes the connection with a TCP reset, so that unsent data does not arrive late. */
  close(): void {
    this.#batches.end()
    // Must come before the session is aborted, which detaches the handle from the socket.
    if (this.#socket !== undefined) resetSocket(this.#socket)
    this.#abort.abort()
    this.#session?.abort()
  }

  #client() {
    const session = new LinkSession(this.#authority, () => this.#openSocket())
    this.#session = session
    return createClient(
      LinkService,
      createConnectTransport({
        baseUrl: this.#authority,
        httpVersion: '2',
        sessionManager: session,
        acceptCompression: [],
        readMaxBytes: MAX_RECEIPT_BYTES,
      }),
    )
  }

  #callOptions() {
    const { token } = this.options
    const headers = token === undefined ? {} : { authorization: `Bearer ${token}` }
    return { headers, signal: this.#abort.signal }
  }

  #openSocket(): net.Socket {
    const { peer, tls: certificates, onOpen } = this.options
    const target = { host: peer.host, port: peer.port, noDelay: true }
    if (certificates === undefined) {
      this.#socket = net.connect(target).once('connect', onOpen)
    } else {
      const secure = { ...target, ...certificates, ALPNProtocols: ['h2'] }
      this.#socket = tls.connect(secure).once('secureConnect', onOpen)
    }
    return this.#socket
  }
}

/** Discards unsent data where possible, which is on an open TCP socket without TLS. */
function resetSocket(socket: net.Socket): void {
  const canReset = socket.readyState === 'open' && !(socket instanceof tls.TLSSocket)
  if (canReset) socket.resetAndDestroy()
  else socket.destroy()
}
