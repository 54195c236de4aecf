import http from 'node:http'
import type { Duplex } from 'node:stream'
import { RequestError, RequestErrorKind } from '../problems/RequestError'
import { requestErrorReply } from '../problems/requestErrorReply'

/** Error codes of Node's `clientError` that map to a specific refusal. */
const kindByCode: Readonly<Record<string, RequestErrorKind>> = {
  HPE_HEADER_OVERFLOW: RequestErrorKind.HeadersTooLarge,
  ERR_HTTP_REQUEST_TIMEOUT: RequestErrorKind.BodyTimeout,
}

/**
 * Responds to input that could not be parsed as an HTTP request, and closes the connection.
 *
 * @param pending - number of unanswered requests of the connection, undefined before its TLS
 *   handshake. If there are any, no response is sent: the client would take it for theirs and
 *   conclude that they did not run.
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
