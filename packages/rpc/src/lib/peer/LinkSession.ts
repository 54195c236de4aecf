import http2 from 'node:http2'
import type { Duplex } from 'node:stream'
import type { ConnectTransportOptions } from '@connectrpc/connect-node'

/** The session manager type of the transport, which the library does not export by name. */
type SessionManager = NonNullable<
  Extract<ConnectTransportOptions, { httpVersion: '2' }>['sessionManager']
>

/**
 * The HTTP/2 session of one dialled connection.
 *
 * It keeps an error listener for the lifetime of the session. The library's own session manager
 * removes its listeners on abort, so a session that fails later, for example because the peer does
 * not speak HTTP/2, would end the whole process with an unhandled error.
 *
 * @internal
 */
export class LinkSession implements SessionManager {
  readonly #session: http2.ClientHttp2Session
  readonly #ready: Promise<void>

  constructor(
    readonly authority: string,
    createConnection: () => Duplex,
  ) {
    this.#session = http2.connect(authority, { createConnection })
    this.#ready = new Promise((resolve, reject) => {
      this.#session.once('connect', () => {
        resolve()
      })
      // Never removed: the error may arrive long after the connection was abandoned.
      this.#session.on('error', reject)
      this.#session.once('close', () => {
        reject(new Error('connection closed before it was established'))
      })
    })
    // Prevents an unhandled rejection if the session is closed before any request awaits it.
    this.#ready.catch(() => undefined)
  }

  async request(
    method: string,
    path: string,
    headers: http2.OutgoingHttpHeaders,
    options: Omit<http2.ClientSessionRequestOptions, 'signal'>,
  ): Promise<http2.ClientHttp2Stream> {
    await this.#ready
    return this.#session.request({ ...headers, ':method': method, ':path': path }, options)
  }

  notifyResponseByteRead(): void {
    // No HTTP/2 pings: a silent connection is detected by missing receipts.
  }

  abort(): void {
    this.#session.destroy()
  }
}
