import http from 'node:http'
import { Effect } from 'effect'
import { splitAddress } from '@cherryhitch/model'
import { parseJson } from './serverReplies'

/** How a request got no answer. @public */
export enum HttpFailureKind {
  /** No connection was made: the request truly was not sent. */
  NotConnected = 'not_connected',
  /** The connection broke before the whole answer was there. */
  Broken = 'broken',
  TimedOut = 'timed_out',
}

/** @public */
export class HttpFailure extends Error {
  constructor(
    readonly kind: HttpFailureKind,
    detail: string,
  ) {
    super(detail)
  }
}

/** @internal */
export interface JsonRequest {
  readonly method: string
  /** Host and port. */
  readonly address: string
  readonly path: string
  readonly headers?: Readonly<Record<string, string>>
  readonly body?: unknown
  readonly timeoutMs: number
  readonly agent: http.Agent
}

/** @internal */
export interface JsonResponse {
  readonly status: number
  readonly headers: http.IncomingHttpHeaders
  /** Undefined when the body is no JSON. */
  readonly body: unknown
}

function requestOptions(request: JsonRequest, text: string | undefined): http.RequestOptions {
  const headers: Record<string, string | number> = { ...request.headers }
  if (text !== undefined) {
    headers['content-type'] = 'application/json'
    headers['content-length'] = Buffer.byteLength(text)
  }
  const { host, port } = splitAddress(request.address)
  return { method: request.method, host, port, path: request.path, headers, agent: request.agent }
}

function readResponse(
  res: http.IncomingMessage,
  onEnd: (response: JsonResponse) => void,
  onFailure: (failure: HttpFailure) => void,
): void {
  const chunks: Buffer[] = []
  res.on('data', (chunk: Buffer) => chunks.push(chunk))
  res.on('error', (err) => {
    onFailure(new HttpFailure(HttpFailureKind.Broken, err.message))
  })
  res.on('end', () => {
    const body = parseJson(Buffer.concat(chunks).toString('utf8'))
    onEnd({ status: res.statusCode ?? 0, headers: res.headers, body })
  })
}

/**
 * Sends one request and gathers the JSON answer. Interrupting the effect destroys the
 * connection, as a caller does who hangs up.
 *
 * @internal
 */
export function requestJson(request: JsonRequest): Effect.Effect<JsonResponse, HttpFailure> {
  return Effect.callback<JsonResponse, HttpFailure>((resume) => {
    const text = request.body === undefined ? undefined : JSON.stringify(request.body)
    const req = http.request(requestOptions(request, text))
    let connected = false
    const fail = (failure: HttpFailure): void => {
      clearTimeout(timer)
      resume(Effect.fail(failure))
    }
    const timer = setTimeout(() => {
      fail(new HttpFailure(HttpFailureKind.TimedOut, `no answer in ${request.timeoutMs} ms`))
      req.destroy()
    }, request.timeoutMs)
    req.on('socket', (socket) => {
      connected = !socket.connecting
      // A kept socket never connects again, so a listener on it would stay for good.
      if (connected) return
      socket.once('connect', () => {
        connected = true
      })
    })
    req.on('error', (err) => {
      const kind = connected ? HttpFailureKind.Broken : HttpFailureKind.NotConnected
      fail(new HttpFailure(kind, err.message))
    })
    req.on('response', (res) => {
      readResponse(
        res,
        (response) => {
          clearTimeout(timer)
          resume(Effect.succeed(response))
        },
        fail,
      )
    })
    req.end(text)
    return Effect.sync(() => {
      clearTimeout(timer)
      req.destroy()
    })
  })
}
