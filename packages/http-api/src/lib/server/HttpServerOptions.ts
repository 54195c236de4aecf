import { performance } from 'node:perf_hooks'
import type { RequestErrorKind } from '../problems/RequestError'

/** Limits of an HTTP server per client and for all clients together. @public */
export interface HttpLimits {
  /** Largest request body, in bytes. */
  readonly bodyBytes: number
  /** Total size of request bodies in memory at one time, in bytes, over all connections. */
  readonly bufferedBytes: number
  /** Largest request head, in bytes. */
  readonly headerBytes: number
  /** Tasks in one job. */
  readonly tasksPerJob: number
  /** Deepest nesting of a JSON body. */
  readonly nestingDepth: number
  /** How long a client may take to send a request's head, and then its body, in milliseconds. */
  readonly requestTimeoutMs: number
  /** How long a connection may stay open without a request, in milliseconds. */
  readonly idleTimeoutMs: number
  /** How long the rest of a refused body is read and discarded, in milliseconds. */
  readonly lingerMs: number
  /** Open connections; further ones are closed at once. */
  readonly connections: number
  /** Requests of one connection that are not answered yet (HTTP pipelining). */
  readonly pipelinedRequests: number
  /** Time for handling requests in one turn of the event loop, in milliseconds. */
  readonly turnBudgetMs: number
  /** Longest time in the queue before a request is refused, in milliseconds. */
  readonly queueWaitMs: number
  /** Deadline of a job whose caller states none, in milliseconds. */
  readonly defaultDeadlineMs: number
  /** Longest deadline that a caller may state, in milliseconds. */
  readonly maxDeadlineMs: number
}

/**
 * Default limits. The sizes assume jobs of hundreds of short tasks with small payloads;
 * `docs/design/http-interfaces.md` gives the reasons.
 *
 * @public
 */
export const defaultHttpLimits: HttpLimits = {
  bodyBytes: 4 * 1024 * 1024,
  bufferedBytes: 128 * 1024 * 1024,
  headerBytes: 16 * 1024,
  tasksPerJob: 1000,
  nestingDepth: 64,
  requestTimeoutMs: 10_000,
  idleTimeoutMs: 15_000,
  lingerMs: 1000,
  connections: 10_000,
  pipelinedRequests: 16,
  turnBudgetMs: 1,
  queueWaitMs: 3000,
  defaultDeadlineMs: 60_000,
  maxDeadlineMs: 3_600_000,
}

/** PEM files of the private key and the certificates; they enable HTTPS. @public */
export interface TlsFiles {
  readonly keyFile: string
  readonly certFile: string
}

/** Source of the current time, in milliseconds since the epoch. @public */
export interface HttpClock {
  now(): number
}

/** A request that the interface refused, so that no service was called. @public */
export interface RefusedRequest {
  readonly method: string
  /** The header Host as received; empty without one. */
  readonly host: string
  /** The request target as received: the path and the query, for most requests. */
  readonly target: string
  readonly kind: RequestErrorKind
  readonly reason: string
}

/** Options shared by the caller, endpoint and operator servers. @public */
export interface HttpServerOptions {
  /** IP address to listen on. */
  readonly host: string
  /** 0 takes any free port. */
  readonly port: number
  readonly tls?: TlsFiles
  /** Overrides of `defaultHttpLimits`. */
  readonly limits?: Partial<HttpLimits>
  /** Receives the log lines of the server. */
  readonly log: (line: string) => void
  /** Called for each refused request that could be parsed as HTTP. */
  readonly onRefused?: (refused: RefusedRequest) => void
  readonly clock?: HttpClock
}

/** Fills in the limits that the options leave out. @internal */
export function resolveLimits(options: HttpServerOptions): HttpLimits {
  return { ...defaultHttpLimits, ...options.limits }
}

/** Wall-clock time at process start, advanced by the monotonic clock. */
const monotonicClock: HttpClock = {
  now: () => performance.timeOrigin + performance.now(),
}

/** Returns the clock of the options, or the system clock by default. @internal */
export function resolveClock(options: HttpServerOptions): HttpClock {
  return options.clock ?? monotonicClock
}
