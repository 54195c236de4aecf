import type { IncomingHttpHeaders } from 'node:http'

/** A request whose sender is known and whose body was received whole. @public */
export interface ApiRequest {
  /** Values of the path's variable segments. */
  readonly params: Readonly<Record<string, string>>
  readonly query: URLSearchParams
  readonly headers: IncomingHttpHeaders
  /** Name of the caller or operator; empty where the interface knows none. */
  readonly sender: string
  /** Text of the body; empty when the route takes none. */
  readonly body: string
  /** When its head was received, in milliseconds since the epoch. */
  readonly receivedAt: number
  /** The present time, in milliseconds since the epoch. */
  readonly now: number
}
