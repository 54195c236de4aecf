import type { IncomingMessage, ServerResponse } from 'node:http'
import type { Reply } from './Reply'

/** How long the rest of a refused body is read and thrown away, in milliseconds. */
const LINGER_MS = 1000

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
  closing: boolean,
): void {
  const bodyPending = !req.complete && hasBody(req)
  if (closing || bodyPending) res.setHeader('Connection', 'close')
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
  endAfterBody(req, res)
}

function hasBody(req: IncomingMessage): boolean {
  if (req.headers['transfer-encoding'] !== undefined) return true
  return Number(req.headers['content-length'] ?? 0) > 0
}

function endAfterBody(req: IncomingMessage, res: ServerResponse): void {
  const end = (): void => {
    clearTimeout(timer)
    res.end()
  }
  const timer = setTimeout(end, LINGER_MS)
  req.once('end', end)
  req.once('close', end)
  req.resume()
}
