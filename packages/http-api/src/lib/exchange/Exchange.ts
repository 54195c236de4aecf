import type { IncomingMessage, ServerResponse } from 'node:http'
import { Cause, Effect, Exit } from 'effect'
import type { Fiber } from 'effect'
import type { Result } from 'ts-results'
import { RequestError, RequestErrorKind } from '../problems/RequestError'
import { defectReply } from '../problems/problemReply'
import { requestErrorReply } from '../problems/requestErrorReply'
import type { RouteMatch } from '../routing/Router'
import { BodyReader, checkBodyHead } from './BodyReader'
import type { ExchangeHost, PipelinePosition } from './ExchangeHost'
import type { Reply } from './Reply'
import { sendReply } from './sendReply'
import { Err, Ok } from '@cherryhitch/model'

/** A routed and authenticated request that may be handled once its body is received. */
interface Admitted extends RouteMatch {
  readonly query: URLSearchParams
  readonly sender: string
}

/**
 * One HTTP request and its response. It checks the head, receives the body, runs the handler
 * and responds once. A client disconnect abandons it, which interrupts the handler.
 *
 * @internal
 */
export class Exchange {
  private fiber: Fiber.Fiber<Reply, RequestError> | undefined
  private body: BodyReader | undefined
  private ended = false
  private readonly receivedAt: number

  constructor(
    private readonly host: ExchangeHost,
    private readonly req: IncomingMessage,
    private readonly res: ServerResponse,
    private readonly position: PipelinePosition,
  ) {
    this.receivedAt = host.clock.now()
    // A write can fail when the connection has just closed; `abandon` is then called.
    res.on('error', (err) => {
      host.log(`failed to send response: ${err.message}`)
    })
  }

  /** Whether a response was written or the exchange was abandoned. */
  isEnded(): boolean {
    return this.ended
  }

  /**
   * Starts processing the request.
   *
   * @param awaitsContinue - the client sends its body only after a 100 (Continue)
   */
  begin(awaitsContinue: boolean): void {
    const admitted = this.admit()
    if (admitted.err) {
      this.refuse(admitted.val)
      return
    }
    const { route } = admitted.val
    if (!route.takesBody) {
      // Probes bypass the queue, since they check whether this process is responsive.
      if (route.open === true) this.run(admitted.val, '')
      else this.enqueue(admitted.val, '')
      return
    }
    const fault = checkBodyHead(this.req, this.host.limits)
    if (fault !== undefined) {
      this.refuse(fault)
      return
    }
    if (awaitsContinue) this.res.writeContinue()
    this.receiveBody(admitted.val)
  }

  /** Responds with a problem document stating that nothing ran. */
  refuse(err: RequestError): void {
    if (!this.ended) this.reportRefusal(err)
    this.answer(requestErrorReply(err))
  }

  /** Ends the exchange after a client disconnect and interrupts the handler. */
  abandon(): void {
    if (this.ended) return
    this.end()
    this.host.countAbandoned()
    this.fiber?.interruptUnsafe()
    this.position.release()
  }

  private reportRefusal({ kind, message: reason }: RequestError): void {
    const { method = '', url: target = '', headers } = this.req
    this.host.onRefused({ method, host: headers.host ?? '', target, kind, reason })
  }

  private admit(): Result<Admitted, RequestError> {
    const { req } = this
    if (req.httpVersion === '1.1' && req.headers.host === undefined) {
      return Err(new RequestError(RequestErrorKind.Malformed, 'The header Host is missing.'))
    }
    const [path = '', search = ''] = splitTarget(req.url ?? '')
    const found = this.host.router.find(req.method ?? '', path)
    if (found.err) return Err(found.val)
    const query = new URLSearchParams(search)
    if (found.val.route.open === true) return Ok({ ...found.val, query, sender: '' })
    const sender = this.host.auth.identify(req.headers)
    if (sender.err) return Err(sender.val)
    return Ok({ ...found.val, query, sender: sender.val })
  }

  private receiveBody(admitted: Admitted): void {
    const { limits, budget } = this.host
    this.body = new BodyReader(this.req, limits, budget, (result) => {
      if (result.ok) this.enqueue(admitted, result.val)
      else this.refuse(result.val)
    })
  }

  /** Queues the request; it is refused if it waits longer than `queueWaitMs`. */
  private enqueue(admitted: Admitted, body: string): void {
    const { clock, limits, turns } = this.host
    const queuedAt = clock.now()
    turns.add(() => {
      const waitedMs = clock.now() - queuedAt
      if (waitedMs <= limits.queueWaitMs) this.run(admitted, body)
      else this.refuse(queueWaitExceeded(waitedMs))
    })
  }

  private run({ route, params, query, sender }: Admitted, body: string): void {
    if (this.ended) return
    this.body?.release()
    const now = this.host.clock.now()
    const { headers, url: target = '' } = this.req
    const { receivedAt } = this
    const remote = remoteOf(this.req)
    const request = {
      target,
      params,
      query,
      headers,
      sender,
      remote,
      body,
      receivedAt,
      now,
    }
    // Suspended so that an exception thrown by the handler becomes a defect of the fiber.
    this.fiber = Effect.runFork(Effect.suspend(() => route.handle(request)))
    this.fiber.addObserver((exit) => {
      this.settle(exit)
    })
  }

  private settle(exit: Exit.Exit<Reply, RequestError>): void {
    if (this.ended) return
    if (Exit.isSuccess(exit)) {
      this.answer(exit.value)
      return
    }
    const err = Cause.findErrorOption(exit.cause)
    if (err._tag === 'Some') {
      this.refuse(err.value)
      return
    }
    const { method = '', url = '' } = this.req
    this.host.log(`${method} ${url} failed: ${Cause.pretty(exit.cause)}`)
    this.answer(defectReply())
  }

  private answer(reply: Reply): void {
    if (this.ended) return
    this.end()
    this.host.countAnswer(reply.status)
    // Counts as in progress until the response is flushed, so that a shutdown does not truncate it.
    this.res.once('close', () => {
      this.position.release()
    })
    // Closing now would cut off later pipelined requests; the newest response closes instead.
    const shouldClose = this.host.isClosing() || reply.close === true
    const close = shouldClose && this.position.isNewest()
    sendReply(this.req, this.res, reply, { close, lingerMs: this.host.limits.lingerMs })
  }

  private end(): void {
    this.ended = true
    this.body?.release()
  }
}

function remoteOf({ socket }: IncomingMessage): string {
  const { remoteAddress, remotePort } = socket
  return remoteAddress === undefined ? '' : `${remoteAddress}:${remotePort ?? 0}`
}

function splitTarget(target: string): readonly string[] {
  const queryStart = target.indexOf('?')
  return queryStart < 0 ? [target] : [target.slice(0, queryStart), target.slice(queryStart + 1)]
}

/** Refused without parsing the body, since an overloaded instance has no time to spare for it. */
function queueWaitExceeded(waitedMs: number): RequestError {
  const message = `The request waited ${Math.round(waitedMs)} ms for its turn; try another instance.`
  return new RequestError(RequestErrorKind.Overloaded, message, { 'Retry-After': '1' })
}
