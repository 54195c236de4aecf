import { performance } from 'node:perf_hooks'

/** Bounds on what one client, and all of them together, may ask of an HTTP server. @public */
export interface HttpLimits {
  /** Largest request body, in bytes. */
  readonly bodyBytes: number
  /** Bodies that are held in memory at the same time, in bytes, over all connections. */
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
  /** How long the rest of a refused body is read and thrown away, in milliseconds. */
  readonly lingerMs: number
  /** Open connections; further ones are closed at once. */
  readonly connections: number
  /** Requests of one connection that are not answered yet (HTTP pipelining). */
  readonly pipelinedRequests: number
  /** Time for handling requests in one turn of the event loop, in milliseconds. */
  readonly turnBudgetMs: number
  /** Requests that waited longer for their turn are refused, in milliseconds. */
  readonly queueWaitMs: number
  /** Deadline of a job whose caller states none, in milliseconds. */
  readonly defaultDeadlineMs: number
  /** Longest deadline that a caller may state, in milliseconds. */
  readonly maxDeadlineMs: number
}

/**
 * Starting values. The sizes follow from the tasks of the design (hundreds of short tasks with
 * small payloads in a job); `docs/design/http-interfaces.md` gives the reasons.
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

/** Files with the key and the certificates in PEM; with them the server speaks HTTPS. @public */
export interface TlsFiles {
  readonly keyFile: string
  readonly certFile: string
}

/** Source of the present time, in milliseconds since the epoch. @public */
export interface HttpClock {
  now(): number
}

/** What the three servers have in common. @public */
export interface HttpServerOptions {
  /** IP address to listen on. */
  readonly host: string
  /** 0 takes any free port. */
  readonly port: number
  readonly tls?: TlsFiles
  /** What is left out takes its value from `defaultHttpLimits`. */
  readonly limits?: Partial<HttpLimits>
  /** Takes short sentences about what the server does. */
  readonly log: (line: string) => void
  readonly clock?: HttpClock
}

/** Fills in the limits that the options leave out. @internal */
export function resolveLimits(options: HttpServerOptions): HttpLimits {
  return { ...defaultHttpLimits, ...options.limits }
}

/** Wall clock at the start of the process, moved on by the monotonic clock. */
const monotonicClock: HttpClock = {
  now: () => performance.timeOrigin + performance.now(),
}

/** The clock of the options, or the machine's. @internal */
export function resolveClock(options: HttpServerOptions): HttpClock {
  return options.clock ?? monotonicClock
}
