import type { Effect } from 'effect'

/** What a server counted since its start. @public */
export interface HttpCounters {
  readonly requests: number
  /** Answers by status code. */
  readonly answers: ReadonlyMap<number, number>
  /** Requests whose client was gone before the answer. */
  readonly abandoned: number
  /** Requests that could not be parsed as HTTP. */
  readonly malformed: number
  /** Connections closed because too many were open. */
  readonly connectionsRefused: number
}

/** A running HTTP server; it ends with its scope. @public */
export interface HttpServer {
  /** The port it listens on; the actual one where the options said 0. */
  readonly port: number
  /** Open connections. */
  connections(): number
  /** Requests that are not answered yet. */
  requestsInProgress(): number
  counters(): HttpCounters
  /**
   * Asks clients to leave: each answer from now on closes its connection. New connections are
   * still served, for the time that the balancer needs to notice.
   */
  closeAfterAnswers(): void
  /** Stops listening and closes idle connections; requests in progress go on. */
  stopAccepting(): void
  /** Resolves when no request is in progress. */
  readonly whenIdle: Effect.Effect<void>
}
