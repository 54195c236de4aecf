import type { IncomingMessage, ServerResponse } from 'node:http'
import type { Reply } from './Reply'

/** @internal */
export interface SendOptions {
  /** Whether to close the connection after the response. */
  readonly close: boolean
  /** How long the rest of a request body is read and discarded, in milliseconds. */
  readonly lingerMs: number
}

/**
 * Writes a response.
 *
 * If the request body has not been received completely, the connection can't be reused. Closing
 * it at once would reset it, and a client that is still sending might never read the response.
 * So the rest of the body is discarded for up to `lingerMs` before the connection is closed.
 *
 * @internal
 */
export function sendReply(
  req: IncomingMessage,
  res: ServerResponse,
  reply: Reply,
  { close, lingerMs }: SendOptions,
): void {
  const bodyPending = !req.complete && hasBody(req)
  if (close || bodyPending) res.setHeader('Connection', 'close')
  res.writeHead(reply.status, {
    'Content-Type': reply.contentType,
    'Content-Length': Buffer.byteLength(reply.body),
    'Cache-Control': 'no-store',
    ...reply.headers,
  })
  if (!bodyPending) {
    res.end(reply.body)
    return
  }
  res.write(reply.body)
  endAfterBody(req, res, lingerMs)
}

function hasBody(req: IncomingMessage): boolean {
  if (req.headers['transfer-encoding'] !== undefined) return true
  return Number(req.headers['content-length'] ?? 0) > 0
}

function endAfterBody(req: IncomingMessage, res: ServerResponse, lingerMs: number): void {
  const end = (): void => {
    clearTimeout(timer)
    res.end()
  }
  const timer = setTimeout(end, lingerMs)
  req.once('end', end)
  req.once('close', end)
  req.resume()
}
