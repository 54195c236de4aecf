import http2 from 'node:http2'
import type { Duplex } from 'node:stream'
import type { ConnectTransportOptions } from '@connectrpc/connect-node'

/** What the transport asks of a session; the library does not export the type by its name. */
type SessionManager = NonNullable<
  Extract<ConnectTransportOptions, { httpVersion: '2' }>['sessionManager']
>

/**
 * The HTTP/2 session of one dialled connection.
 *
 * It listens for errors as long as the session exists. The session manager of the library drops
 * its listeners when it is aborted, and a session that fails after that, such as one whose peer
 * does not speak HTTP/2, would then end the whole process by an error that nobody takes.
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
      // Stays for good: the error may come long after the connection was given up.
      this.#session.on('error', reject)
      this.#session.once('close', () => {
        reject(new Error('the connection closed before it was open'))
      })
    })
    // A session that is given up before any request has nobody who awaits it.
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
    // Silence is found by receipts, not by pings.
  }

  abort(): void {
    this.#session.destroy()
  }
}
