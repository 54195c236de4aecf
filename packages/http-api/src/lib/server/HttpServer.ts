import type { Effect } from 'effect'

/** Counters of a server since its start. @public */
export interface HttpCounters {
  readonly requests: number
  /** Number of responses by status code. */
  readonly answers: ReadonlyMap<number, number>
  /** Requests whose client disconnected before the response. */
  readonly abandoned: number
  /** Requests that could not be parsed as HTTP. */
  readonly malformed: number
  /** Connections closed because too many were open. */
  readonly connectionsRefused: number
}

/** A running HTTP server; it shuts down when its scope closes. @public */
export interface HttpServer {
  /** The port it listens on; the assigned port if the options have 0. */
  readonly port: number
  /** Open connections. */
  connections(): number
  /** Requests whose responses have not been flushed. */
  requestsInProgress(): number
  counters(): HttpCounters
  /**
   * Closes each connection after its next response. New connections are still served until the
   * load balancer has stopped routing to this instance.
   */
  closeAfterAnswers(): void
  /** Stops listening and closes idle connections; requests in progress go on. */
  stopAccepting(): void
  /** Resolves when no request is in progress. */
  readonly whenIdle: Effect.Effect<void>
}
