import type http from 'node:http'
import https from 'node:https'
import net from 'node:net'
import type { Socket } from 'node:net'
import { performance } from 'node:perf_hooks'
import { Effect } from 'effect'
import type { Authenticator } from '../auth/Authenticator'
import { BodyBudget } from '../exchange/BodyBudget'
import { Exchange } from '../exchange/Exchange'
import type { ExchangeHost } from '../exchange/ExchangeHost'
import { TurnQueue } from '../exchange/TurnQueue'
import { RequestError, RequestErrorKind } from '../problems/RequestError'
import type { Router } from '../routing/Router'
import { ConnectionTable } from './ConnectionTable'
import { Counters } from './Counters'
import type { HttpServer } from './HttpServer'
import type { HttpClock, HttpLimits, RefusedRequest } from './HttpServerOptions'
import { refuseUnparsed } from './refuseUnparsed'

/** Time for clients to read written responses during shutdown, in milliseconds. */
const FLUSH_MS = 250

/** @internal */
export interface ServerHostOptions {
  readonly node: http.Server
  readonly router: Router
  readonly auth: Authenticator
  readonly limits: HttpLimits
  readonly clock: HttpClock
  readonly log: (line: string) => void
  readonly onRefused: (refused: RefusedRequest) => void
}

/** Connections, budgets and counters of one HTTP server. @internal */
export class ServerHost implements ExchangeHost, HttpServer {
  readonly limits: HttpLimits
  readonly budget: BodyBudget
  readonly turns: TurnQueue
  readonly router: Router
  readonly auth: Authenticator
  readonly clock: HttpClock
  readonly log: (line: string) => void
  readonly onRefused: (refused: RefusedRequest) => void
  readonly whenIdle: Effect.Effect<void>
  private readonly node: http.Server
  private readonly table = new ConnectionTable()
  private readonly counts = new Counters()
  private closing = false

  constructor(options: ServerHostOptions) {
    this.node = options.node
    this.router = options.router
    this.auth = options.auth
    this.limits = options.limits
    this.clock = options.clock
    this.log = options.log
    this.onRefused = options.onRefused
    this.budget = new BodyBudget(options.limits.bufferedBytes)
    const monotonic = (): number => performance.now()
    this.turns = new TurnQueue(options.limits.turnBudgetMs, monotonic, setImmediate)
    this.whenIdle = Effect.callback<undefined>((resume) => {
      const cancelWait = this.table.whenIdle(() => {
        resume(Effect.succeed(undefined))
      })
      return Effect.sync(cancelWait)
    })
    this.listenToNode()
  }

  get port(): number {
    const address = this.node.address()
    return typeof address === 'object' && address !== null ? address.port : 0
  }

  connections(): number {
    return this.table.connections()
  }

  requestsInProgress(): number {
    return this.table.requestsInProgress()
  }

  counters() {
    return this.counts.read()
  }

  isClosing(): boolean {
    return this.closing
  }

  closeAfterAnswers(): void {
    this.closing = true
  }

  stopAccepting(): void {
    this.closing = true
    // `http.Server.close` would destroy connections whose response was ended but not yet flushed,
    // because it considers them idle. `net.Server.close` only stops listening.
    net.Server.prototype.close.call(this.node)
    this.table.closeIdle()
  }

  /** Shuts down and logs how many requests were cut off. Written responses are still flushed. */
  shutDown(): void {
    const cutOff = this.table.unanswered()
    if (cutOff > 0) this.log(`cut off ${cutOff} requests in progress`)
    this.stopAccepting()
    this.table.closeAll()
    setTimeout(() => {
      this.table.destroyAll()
      // Also stops Node's timer for header timeouts.
      this.node.close()
    }, FLUSH_MS).unref()
  }

  countAnswer(status: number): void {
    this.counts.countAnswer(status)
  }

  countAbandoned(): void {
    this.counts.countAbandoned()
  }

  private listenToNode(): void {
    this.node.on('connection', (socket: Socket) => {
      this.table.accept(socket)
    })
    const opened = this.node instanceof https.Server ? 'secureConnection' : 'connection'
    this.node.on(opened, (socket: Socket) => {
      this.table.open(socket)
    })
    this.node.on('request', (req, res) => {
      this.serve(req, res, false)
    })
    this.node.on('checkContinue', (req, res) => {
      this.serve(req, res, true)
    })
    this.node.on('checkExpectation', (req, res) => {
      this.serveExpectation(req, res)
    })
    this.node.on('clientError', (err: NodeJS.ErrnoException, socket) => {
      this.counts.countMalformed()
      refuseUnparsed(err, socket, this.table.pending(socket))
    })
    this.node.on('drop', () => {
      this.counts.countConnectionRefused()
    })
  }

  private serve(
    req: http.IncomingMessage,
    res: http.ServerResponse,
    awaitsContinue: boolean,
  ): void {
    const exchange = this.open(req, res)
    const pending = this.table.pending(req.socket) ?? 0
    if (pending > this.limits.pipelinedRequests) {
      exchange.refuse(tooManyPipelined(this.limits.pipelinedRequests))
    } else {
      exchange.begin(awaitsContinue)
    }
  }

  private serveExpectation(req: http.IncomingMessage, res: http.ServerResponse): void {
    const message = 'Only Expect: 100-continue is understood.'
    this.open(req, res).refuse(new RequestError(RequestErrorKind.ExpectationFailed, message))
  }

  private open(req: http.IncomingMessage, res: http.ServerResponse): Exchange {
    const { socket } = req
    this.counts.countRequest()
    const exchange: Exchange = new Exchange(this, req, res, {
      isNewest: () => this.table.isNewest(socket, exchange),
      release: () => {
        this.table.end(socket, exchange)
      },
    })
    this.table.begin(socket, exchange)
    return exchange
  }
}

function tooManyPipelined(limit: number): RequestError {
  const message = `At most ${limit} unanswered requests are taken on one connection.`
  return new RequestError(RequestErrorKind.Overloaded, message, { 'Retry-After': '1' })
}
