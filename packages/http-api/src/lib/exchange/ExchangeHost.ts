import type { Authenticator } from '../auth/Authenticator'
import type { Router } from '../routing/Router'
import type { HttpClock, HttpLimits } from '../server/HttpServerOptions'
import type { BodyBudget } from './BodyBudget'
import type { TurnQueue } from './TurnQueue'

/** What an exchange needs of the server that it belongs to. @internal */
export interface ExchangeHost {
  readonly limits: HttpLimits
  readonly budget: BodyBudget
  /** Where requests wait for their turn. */
  readonly turns: TurnQueue
  readonly router: Router
  readonly auth: Authenticator
  readonly clock: HttpClock
  readonly log: (line: string) => void
  /** Whether answers close their connections. */
  isClosing(): boolean
  countAnswer(status: number): void
  countAbandoned(): void
}

/** Where an exchange stands on its connection. @internal */
export interface ExchangePlace {
  /** Whether no later request has come on the same connection. */
  isNewest(): boolean
  /** The answer is sent, or nobody waits for it. */
  leave(): void
}
