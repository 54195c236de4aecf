import type { IncomingMessage, ServerResponse } from 'node:http'
import type { Reply } from './Reply'

/** @internal */
export interface SendOptions {
  /** Whether the connection is to be closed after the answer. */
  readonly close: boolean
  /** How long the rest of a body is read and thrown away, in milliseconds. */
  readonly lingerMs: number
}

/**
 * Writes an answer.
 *
 * When the request's body has not arrived whole, the connection can't be used again. Closing
 * it at once would reset it, and the client, still sending, might never read the answer: so the
 * answer is written, the rest is thrown away for a while, and only then it closes.
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
