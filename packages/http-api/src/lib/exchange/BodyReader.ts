import { isUtf8 } from 'node:buffer'
import type { IncomingMessage } from 'node:http'
import type { Result } from 'ts-results'
import { RequestError, RequestErrorKind } from '../problems/RequestError'
import type { HttpLimits } from '../server/HttpServerOptions'
import type { BodyBudget } from './BodyBudget'
import { Err, Ok } from '@cherryhitch/model'

/** @internal */
export type BodyResult = Result<string, RequestError>

/**
 * Receives one body within the limits and calls `report` once, with the text or the refusal.
 * Its bytes stay reserved in the budget until `release`.
 *
 * @internal
 */
export class BodyReader {
  private readonly chunks: Buffer[] = []
  private received = 0
  private done = false
  private readonly timer: NodeJS.Timeout

  constructor(
    req: IncomingMessage,
    private readonly limits: HttpLimits,
    private readonly budget: BodyBudget,
    private readonly report: (result: BodyResult) => void,
  ) {
    this.timer = setTimeout(() => {
      this.finish(Err(bodyTimedOut(limits.requestTimeoutMs)))
    }, limits.requestTimeoutMs)
    req.on('data', (chunk: Buffer) => {
      this.append(chunk)
    })
    req.on('end', () => {
      this.finish(this.text())
    })
  }

  /** Returns the reserved bytes to the budget and ignores further data. */
  release(): void {
    this.done = true
    clearTimeout(this.timer)
    this.budget.release(this.received)
    this.received = 0
    this.chunks.length = 0
  }

  private append(chunk: Buffer): void {
    if (this.done) return
    if (this.received + chunk.length > this.limits.bodyBytes) {
      this.finish(Err(tooLarge(this.limits.bodyBytes)))
      return
    }
    if (!this.budget.reserve(chunk.length)) {
      this.finish(Err(overloaded()))
      return
    }
    this.received += chunk.length
    this.chunks.push(chunk)
  }

  /** Refuses a body that is not UTF-8, since lenient decoding would alter the payload. */
  private text(): BodyResult {
    const bytes = this.chunks.length === 1 ? this.chunks[0] : Buffer.concat(this.chunks)
    if (bytes === undefined) return Ok('')
    if (!isUtf8(bytes)) return Err(malformed('The body is not UTF-8.'))
    return Ok(bytes.toString('utf8'))
  }

  private finish(result: BodyResult): void {
    if (this.done) return
    this.done = true
    clearTimeout(this.timer)
    this.report(result)
  }
}

/**
 * Refuses a request for what its head declares, before the body is read.
 *
 * @internal
 */
export function checkBodyHead(req: IncomingMessage, limits: HttpLimits): RequestError | undefined {
  const length = Number(req.headers['content-length'] ?? 0)
  if (length > limits.bodyBytes) return tooLarge(limits.bodyBytes)
  const encoding = req.headers['content-encoding'] ?? 'identity'
  if (encoding !== 'identity') return unsupported('Send the body without Content-Encoding.')
  const type = req.headers['content-type']
  if (type !== undefined && !isJson(type)) {
    return unsupported(`Send Content-Type: application/json rather than ${type}.`)
  }
  return undefined
}

function isJson(contentType: string): boolean {
  return contentType.split(';')[0]?.trim().toLowerCase() === 'application/json'
}

function tooLarge(limit: number): RequestError {
  return new RequestError(RequestErrorKind.BodyTooLarge, `At most ${limit} bytes are taken.`)
}

function bodyTimedOut(limitMs: number): RequestError {
  const message = `The body did not arrive within ${limitMs} ms.`
  return new RequestError(RequestErrorKind.BodyTimeout, message)
}

function overloaded(): RequestError {
  const message = 'Too many bodies are being received; send it again.'
  return new RequestError(RequestErrorKind.Overloaded, message, { 'Retry-After': '1' })
}

function unsupported(message: string): RequestError {
  return new RequestError(RequestErrorKind.UnsupportedType, message)
}

function malformed(message: string): RequestError {
  return new RequestError(RequestErrorKind.Malformed, message)
}
