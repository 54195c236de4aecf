import type { IncomingHttpHeaders } from 'node:http'

/** An authenticated request whose body has been received completely. @public */
export interface ApiRequest {
  /** The request target as received: the path and the query, for most requests. */
  readonly target: string
  /** Values of the path's variable segments. */
  readonly params: Readonly<Record<string, string>>
  readonly query: URLSearchParams
  readonly headers: IncomingHttpHeaders
  /** Name of the caller or operator; empty on routes without authentication. */
  readonly sender: string
  /** IP address and port of the client's connection; empty once that is closed. */
  readonly remote: string
  /** Text of the body; empty when the route takes none. */
  readonly body: string
  /** When the request head was received, in milliseconds since the epoch. */
  readonly receivedAt: number
  /** When the handler was started, in milliseconds since the epoch. */
  readonly now: number
}
