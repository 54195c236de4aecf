import type { IncomingMessage, ServerResponse } from 'node:http'
import { Cause, Effect, Exit } from 'effect'
import type { Fiber } from 'effect'
import type { Result } from 'ts-results'
import { RequestError, RequestErrorKind } from '../problems/RequestError'
import { defectReply } from '../problems/problemReply'
import { requestErrorReply } from '../problems/requestErrorReply'
import type { RouteMatch } from '../routing/Router'
import { BodyReader, checkBodyHead } from './BodyReader'
import type { ExchangeHost, ExchangePlace } from './ExchangeHost'
import type { Reply } from './Reply'
import { sendReply } from './sendReply'
import { Err, Ok } from '@cherryhitch/model'

/** A request that may be handled once its body is there. */
interface Admitted extends RouteMatch {
  readonly query: URLSearchParams
  readonly sender: string
}

/**
 * One request and its answer. It goes through head, body and handler, and answers once; or it
 * is abandoned because the client is gone, which interrupts the handler.
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
    private readonly place: ExchangePlace,
  ) {
    this.receivedAt = host.clock.now()
    // A write to a connection that has just closed; `abandon` follows.
    res.on('error', (err) => {
      host.log(`an answer could not be sent: ${err.message}`)
    })
  }

  /** Whether it was answered or abandoned. */
  isEnded(): boolean {
    return this.ended
  }

  /**
   * Starts work on the request.
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
      // Probes are answered at once: they ask whether this process keeps up.
      if (route.open === true) this.run(admitted.val, '')
      else this.await(admitted.val, '')
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

  /** Answers with a refusal; nothing ran. */
  refuse(err: RequestError): void {
    this.answer(requestErrorReply(err))
  }

  /** The client is gone: nobody waits for the answer any more. */
  abandon(): void {
    if (this.ended) return
    this.end()
    this.host.countAbandoned()
    this.fiber?.interruptUnsafe()
    this.place.leave()
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
      if (result.ok) this.await(admitted, result.val)
      else this.refuse(result.val)
    })
  }

  /** Waits for a turn. The client may be gone before it comes, or have waited too long. */
  private await(admitted: Admitted, body: string): void {
    const { clock, limits, turns } = this.host
    const queuedAt = clock.now()
    turns.add(() => {
      const waitedMs = clock.now() - queuedAt
      if (waitedMs <= limits.queueWaitMs) this.run(admitted, body)
      else this.refuse(waitedTooLong(waitedMs))
    })
  }

  private run({ route, params, query, sender }: Admitted, body: string): void {
    if (this.ended) return
    this.body?.release()
    const now = this.host.clock.now()
    const { headers } = this.req
    const { receivedAt } = this
    const request = { params, query, headers, sender, body, receivedAt, now }
    // Suspended, so that a handler that throws ends as a defect of the fiber.
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
    // It counts as in progress until it was handed to the system: a shutdown must not cut it.
    this.res.once('close', () => {
      this.place.leave()
    })
    // A pipelined request behind this one would be cut off; its answer closes instead.
    const asked = this.host.isClosing() || reply.close === true
    const close = asked && this.place.isNewest()
    sendReply(this.req, this.res, reply, { close, lingerMs: this.host.limits.lingerMs })
  }

  private end(): void {
    this.ended = true
    this.body?.release()
  }
}

function splitTarget(target: string): readonly string[] {
  const cut = target.indexOf('?')
  return cut < 0 ? [target] : [target.slice(0, cut), target.slice(cut + 1)]
}

/** Refused unread: reading is what an instance that is behind has no time for. */
function waitedTooLong(waitedMs: number): RequestError {
  const message = `The request waited ${Math.round(waitedMs)} ms for its turn; try another instance.`
  return new RequestError(RequestErrorKind.Overloaded, message, { 'Retry-After': '1' })
}
