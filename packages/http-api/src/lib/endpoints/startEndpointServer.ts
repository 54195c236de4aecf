import type { Effect, Scope } from 'effect'
import type { Authenticator } from '../auth/Authenticator'
import type { HealthSource } from '../health/HealthSource'
import { healthRoutes } from '../health/healthRoutes'
import type { Route } from '../routing/Router'
import { Method } from '../routing/Router'
import type { HttpServer } from '../server/HttpServer'
import type { HttpServerError } from '../server/HttpServerError'
import type { HttpServerOptions } from '../server/HttpServerOptions'
import { resolveLimits } from '../server/HttpServerOptions'
import { openServer } from '../server/openServer'
import type { EndpointService } from '../services/EndpointService'
import { heartbeat } from './heartbeat'

/** @public */
export interface EndpointServerOptions extends HttpServerOptions {
  readonly endpoints: EndpointService
  readonly auth: Authenticator
  readonly health: HealthSource
}

/** Starts the HTTP API for endpoints, specified in `docs/openapi/endpoints.yaml`. @public */
export function startEndpointServer(
  options: EndpointServerOptions,
): Effect.Effect<HttpServer, HttpServerError, Scope.Scope> {
  const route: Route = {
    method: Method.Post,
    path: 'v1/endpoints/{id}/heartbeat',
    takesBody: true,
    handle: heartbeat(options.endpoints, resolveLimits(options)),
  }
  return openServer(options, options.auth, [route, ...healthRoutes(options.health)])
}
