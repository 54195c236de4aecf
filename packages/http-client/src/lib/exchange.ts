import http from 'node:http'
import type { Socket } from 'node:net'
import { Err, Ok, splitAddress } from '@cherryhitch/model'
import { Data, Effect } from 'effect'
import type { Result } from 'ts-results'

/** One HTTP request and the bounds of its answer. @public */
export interface HttpExchange {
  readonly method: string
  /** Host and port. */
  readonly address: string
  readonly path: string
  readonly headers: Readonly<Record<string, string>>
  readonly body: string
  readonly agent: http.Agent
  /** Milliseconds until a new connection has to be there. */
  readonly connectTimeoutMs: number
  /** Milliseconds until the whole answer has to be there. */
  readonly answerTimeoutMs: number
  /** Longest answer in bytes. */
  readonly maxAnswerBytes: number
}

/** @public */
export interface HttpReply {
  readonly status: number
  readonly body: string
  /** The answer was cut off at the bound. */
  readonly oversized: boolean
}

/** No answer came. @public */
export class HttpFailure extends Data.TaggedError('HttpFailure')<{
  /** Whether any byte of the request may have reached the other end. */
  readonly mayHaveArrived: boolean
  readonly detail: string
}> {}

const KEEP_ALIVE_PROBE_MS = 1000
/** Node takes no longer timer. */
const MAX_TIMER_MS = 2_147_483_647

/** How a request ended: with an answer, or without. @public */
export type ExchangeEnd = Result<HttpReply, HttpFailure>

/**
 * Carries out one request.
 *
 * A request that never had a connected socket can't have arrived. On a connection that was used
 * before, a reset tells nothing: the request may have been read before it.
 *
 * @param done - called once, never before this returns
 * @returns gives the request up and closes the connection
 * @public
 */
export function startExchange(options: HttpExchange, done: (end: ExchangeEnd) => void): () => void {
  const run = new RunningExchange(options, done)
  return () => {
    run.abort('It was given up.')
  }
}

/** The same as an effect; interrupting it closes the connection. @public */
export function exchange(options: HttpExchange): Effect.Effect<HttpReply, HttpFailure> {
  return Effect.callback<HttpReply, HttpFailure>((resume) => {
    const giveUp = startExchange(options, (end) => {
      resume(end.ok ? Effect.succeed(end.val) : Effect.fail(end.val))
    })
    return Effect.sync(giveUp)
  })
}

class RunningExchange {
  private readonly req: http.ClientRequest
  private readonly answerTimer: NodeJS.Timeout
  private connectTimer: NodeJS.Timeout | undefined
  private connected = false
  private settled = false

  constructor(
    private readonly options: HttpExchange,
    private readonly done: (end: ExchangeEnd) => void,
  ) {
    const { host, port } = splitAddress(options.address)
    const { method, path, agent, body } = options
    // A flat list is written as it is; the fields of an object are set and checked one by one.
    const headers = ['host', options.address, 'content-length', String(Buffer.byteLength(body))]
    for (const name in options.headers) headers.push(name, options.headers[name] ?? '')
    this.req = http.request({ host, port, method, path, agent, headers })
    this.answerTimer = setTimeout(
      () => {
        // After a standstill of this process the timer comes first, though the answer is there.
        setImmediate(() => {
          if (!this.settled) this.abort('The answer did not come in time.')
        })
      },
      Math.min(options.answerTimeoutMs, MAX_TIMER_MS),
    )
    this.req.on('socket', (socket) => {
      this.watch(socket)
    })
    this.req.on('response', (res) => {
      this.read(res)
    })
    this.req.on('error', (err) => {
      this.fail(err.message)
    })
    this.req.end(body)
  }

  /** Gives up and closes the connection. */
  abort(detail: string): void {
    this.fail(detail)
    this.req.destroy()
  }

  private watch(socket: Socket): void {
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

  private read(res: http.IncomingMessage): void {
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

  private settle(end: ExchangeEnd): void {
    if (this.settled) return
    this.settled = true
    clearTimeout(this.answerTimer)
    clearTimeout(this.connectTimer)
    this.done(end)
  }
}
