import type { IncomingMessage, ServerResponse } from 'node:http'
import type { Problem, ProblemRan } from '@cherryhitch/model'

/** What a handler answers: a status and a JSON body. @internal */
export interface JsonReply {
  readonly status: number
  readonly body: unknown
}

const PROBLEM_FROM_STATUS = 400
const MAX_BODY_BYTES = 8 * 1024 * 1024

/** Builds a problem document after RFC 9457. @internal */
export function problemReply(status: number, ran: ProblemRan, detail: string): JsonReply {
  const body: Problem = { type: 'about:blank', title: detail, status, detail, ran }
  return { status, body }
}

/** @internal */
export function writeReply(res: ServerResponse, reply: JsonReply): void {
  if (res.writableEnded || res.destroyed) return
  const text = JSON.stringify(reply.body)
  const type = reply.status < PROBLEM_FROM_STATUS ? 'application/json' : 'application/problem+json'
  res.writeHead(reply.status, {
    'content-type': type,
    'content-length': Buffer.byteLength(text),
  })
  res.end(text)
}

/**
 * Gathers a JSON body; undefined when it is malformed or too large. When the connection
 * breaks before the end, `onBody` is never called: the request did not arrive.
 *
 * @internal
 */
export function readJsonBody(req: IncomingMessage, onBody: (body: unknown) => void): void {
  const chunks: Buffer[] = []
  let bytes = 0
  req.on('data', (chunk: Buffer) => {
    bytes += chunk.length
    if (bytes <= MAX_BODY_BYTES) chunks.push(chunk)
  })
  req.on('end', () => {
    onBody(bytes > MAX_BODY_BYTES ? undefined : parseJson(Buffer.concat(chunks).toString('utf8')))
  })
}

/** Undefined when the text is no JSON. @internal */
export function parseJson(text: string): unknown {
  try {
    return JSON.parse(text)
  } catch {
    return undefined
  }
}
