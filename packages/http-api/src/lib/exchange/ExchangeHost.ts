import type { Authenticator } from '../auth/Authenticator'
import type { Router } from '../routing/Router'
import type { HttpClock, HttpLimits, RefusedRequest } from '../server/HttpServerOptions'
import type { BodyBudget } from './BodyBudget'
import type { TurnQueue } from './TurnQueue'

/** Server state and limits shared by all exchanges of one server. @internal */
export interface ExchangeHost {
  readonly limits: HttpLimits
  readonly budget: BodyBudget
  /** Queue of requests waiting to be handled. */
  readonly turns: TurnQueue
  readonly router: Router
  readonly auth: Authenticator
  readonly clock: HttpClock
  readonly log: (line: string) => void
  readonly onRefused: (refused: RefusedRequest) => void
  /** Whether responses close their connections. */
  isClosing(): boolean
  countAnswer(status: number): void
  countAbandoned(): void
}

/** Position of an exchange among the pipelined requests of its connection. @internal */
export interface PipelinePosition {
  /** Whether no later request has arrived on the same connection. */
  isNewest(): boolean
  /** Removes the exchange from the connection, once it is flushed or abandoned. */
  release(): void
}
