import http from 'node:http'
import type { Socket } from 'node:net'
import { Err, Ok, splitAddress } from '@cherryhitch/model'
import { Data, Effect } from 'effect'
import type { Result } from 'ts-results'

/** One HTTP request and the limits of its response. @public */
export interface HttpRequestOptions {
  readonly method: string
  /** Host and port of the server. */
  readonly address: string
  readonly path: string
  readonly headers: Readonly<Record<string, string>>
  readonly body: string
  readonly agent: http.Agent
  /** Time limit for establishing a new connection. */
  readonly connectTimeoutMs: number
  /** Time limit for receiving the whole response. */
  readonly answerTimeoutMs: number
  /** Maximum size of the response body. */
  readonly maxAnswerBytes: number
}

/** An HTTP response. @public */
export interface HttpReply {
  readonly status: number
  readonly body: string
  /** The body exceeded `maxAnswerBytes`; `body` is then empty. */
  readonly oversized: boolean
}

/** The request failed without a complete response. @public */
export class HttpFailure extends Data.TaggedError('HttpFailure')<{
  /** Whether any byte of the request may have reached the server. */
  readonly mayHaveArrived: boolean
  readonly detail: string
}> {}

const KEEP_ALIVE_PROBE_MS = 1000
/** The longest delay that `setTimeout` supports. */
const MAX_TIMER_MS = 2_147_483_647

/** The outcome of a request: a response or a failure. @public */
export type HttpResult = Result<HttpReply, HttpFailure>

/**
 * Sends one request.
 *
 * A request that never had a connected socket can't have arrived. A reset of a reused connection
 * is inconclusive, since the server may have read the request before the reset.
 *
 * @param done - called once, and never before this function returns
 * @returns a function that aborts the request and closes the connection
 * @public
 */
export function startExchange(
  options: HttpRequestOptions,
  done: (end: HttpResult) => void,
): () => void {
  const request = new PendingRequest(options, done)
  return () => {
    request.abort('It was given up.')
  }
}

/** Like {@link startExchange}, as an effect; interruption closes the connection. @public */
export function exchange(options: HttpRequestOptions): Effect.Effect<HttpReply, HttpFailure> {
  return Effect.callback<HttpReply, HttpFailure>((resume) => {
    const abort = startExchange(options, (end) => {
      resume(end.ok ? Effect.succeed(end.val) : Effect.fail(end.val))
    })
    return Effect.sync(abort)
  })
}

class PendingRequest {
  private readonly req: http.ClientRequest
  private readonly answerTimer: NodeJS.Timeout
  private connectTimer: NodeJS.Timeout | undefined
  private connected = false
  private settled = false

  constructor(
    private readonly options: HttpRequestOptions,
    private readonly done: (end: HttpResult) => void,
  ) {
    const { host, port } = splitAddress(options.address)
    const { method, path, agent, body } = options
    // Node writes a flat list as it is, but sets and checks the fields of an object one by one.
    const headers = ['host', options.address, 'content-length', String(Buffer.byteLength(body))]
    for (const name in options.headers) headers.push(name, options.headers[name] ?? '')
    this.req = http.request({ host, port, method, path, agent, headers })
    this.answerTimer = setTimeout(
      () => {
        // After this process was stalled, the timer fires before a response that has already
        // arrived is read. `setImmediate` lets that pending I/O run first.
        setImmediate(() => {
          if (!this.settled) this.abort('The answer did not come in time.')
        })
      },
      Math.min(options.answerTimeoutMs, MAX_TIMER_MS),
    )
    this.req.on('socket', (socket) => {
      this.trackConnection(socket)
    })
    this.req.on('response', (res) => {
      this.readResponse(res)
    })
    this.req.on('error', (err) => {
      this.fail(err.message)
    })
    this.req.end(body)
  }

  /** Fails the request and closes the connection. */
  abort(detail: string): void {
    this.fail(detail)
    this.req.destroy()
  }

  private trackConnection(socket: Socket): void {
    if (!socket.connecting) {
      this.connected = true
      return
    }
    socket.setKeepAlive(true, KEEP_ALIVE_PROBE_MS)
    this.connectTimer = setTimeout(() => {
      this.abort('The connection was not made in time.')
    }, this.options.connectTimeoutMs)
    socket.once('connect', () => {
      this.connected = true
      clearTimeout(this.connectTimer)
    })
  }

  private readResponse(res: http.IncomingMessage): void {
    const chunks: Buffer[] = []
    let size = 0
    const finish = (oversized: boolean): void => {
      const body = oversized ? '' : Buffer.concat(chunks).toString('utf8')
      this.settle(Ok({ status: res.statusCode ?? 0, body, oversized }))
    }
    res.on('data', (chunk: Buffer) => {
      size += chunk.length
      if (size <= this.options.maxAnswerBytes) {
        chunks.push(chunk)
        return
      }
      finish(true)
      this.req.destroy()
    })
    res.on('end', () => {
      finish(false)
    })
    res.on('aborted', () => {
      this.fail('The connection broke within the answer.')
    })
    res.on('error', (err) => {
      this.fail(err.message)
    })
  }

  private fail(detail: string): void {
    this.settle(Err(new HttpFailure({ mayHaveArrived: this.connected, detail })))
  }

  private settle(end: HttpResult): void {
    if (this.settled) return
    this.settled = true
    clearTimeout(this.answerTimer)
    clearTimeout(this.connectTimer)
    this.done(end)
  }
}
