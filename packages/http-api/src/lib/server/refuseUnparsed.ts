import http from 'node:http'
import type { Duplex } from 'node:stream'
import { RequestError, RequestErrorKind } from '../problems/RequestError'
import { requestErrorReply } from '../problems/requestErrorReply'

/** Codes of Node's `clientError` that have a meaning of their own here. */
const kindByCode: Readonly<Record<string, RequestErrorKind>> = {
  HPE_HEADER_OVERFLOW: RequestErrorKind.HeadersTooLarge,
  ERR_HTTP_REQUEST_TIMEOUT: RequestErrorKind.BodyTimeout,
}

/**
 * Answers what is no HTTP request, and closes the connection.
 *
 * @param pending - requests of the connection that are not answered, undefined before its
 *   TLS handshake. With any of them this answer would be taken for theirs and claim that they
 *   did not run, so it is left out.
 * @internal
 */
export function refuseUnparsed(
  err: NodeJS.ErrnoException,
  socket: Duplex,
  pending: number | undefined,
): void {
  if (pending !== 0 || !socket.writable || err.code === 'ECONNRESET') {
    socket.destroy()
    return
  }
  const kind = kindByCode[err.code ?? ''] ?? RequestErrorKind.Malformed
  const reply = requestErrorReply(new RequestError(kind, describe(kind)))
  const lines = [
    `HTTP/1.1 ${reply.status} ${http.STATUS_CODES[reply.status] ?? ''}`,
    `Content-Type: ${reply.contentType}`,
    `Content-Length: ${Buffer.byteLength(reply.body)}`,
    'Connection: close',
    '',
    reply.body,
  ]
  socket.end(lines.join('\r\n'))
}

function describe(kind: RequestErrorKind): string {
  if (kind === RequestErrorKind.HeadersTooLarge) return 'Send fewer or shorter headers.'
  if (kind === RequestErrorKind.BodyTimeout) return 'The head of the request did not arrive.'
  return 'This is not an HTTP request.'
}
