import type { Effect, Scope } from 'effect'
import type { Authenticator } from '../auth/Authenticator'
import type { HealthSource } from '../health/HealthSource'
import { healthRoutes } from '../health/healthRoutes'
import type { HttpServer } from '../server/HttpServer'
import type { HttpServerError } from '../server/HttpServerError'
import type { HttpServerOptions } from '../server/HttpServerOptions'
import { resolveLimits } from '../server/HttpServerOptions'
import { openServer } from '../server/openServer'
import type { OperatorService } from '../services/OperatorService'
import { changeRoutes } from './changeRoutes'
import type { MetricsText } from './metricsRoute'
import { metricsRoute } from './metricsRoute'
import { readRoutes } from './readRoutes'

/** @public */
export interface OperatorServerOptions extends HttpServerOptions {
  readonly operators: OperatorService
  readonly auth: Authenticator
  readonly metrics: () => Promise<MetricsText>
  readonly health: HealthSource
}

/** Starts the HTTP API for operators, specified in `docs/openapi/operators.yaml`. @public */
export function startOperatorServer(
  options: OperatorServerOptions,
): Effect.Effect<HttpServer, HttpServerError, Scope.Scope> {
  const routes = [
    ...readRoutes(options.operators),
    ...changeRoutes(options.operators, resolveLimits(options)),
    metricsRoute(options.metrics),
    ...healthRoutes(options.health),
  ]
  return openServer(options, options.auth, routes)
}
