import type { Effect, Scope } from 'effect'
import type { Authenticator } from '../auth/Authenticator'
import type { HealthSource } from '../health/HealthSource'
import { healthRoutes } from '../health/healthRoutes'
import type { Route } from '../routing/Router'
import { Method } from '../routing/Router'
import type { HttpServer } from '../server/HttpServer'
import type { HttpServerError } from '../server/HttpServerError'
import type { HttpLimits, HttpServerOptions } from '../server/HttpServerOptions'
import { resolveLimits } from '../server/HttpServerOptions'
import { openServer } from '../server/openServer'
import type { JobService } from '../services/JobService'
import { cancelJob } from './cancelJob'
import { queryJob } from './queryJob'
import { submitJob } from './submitJob'

/** @public */
export interface CallerServerOptions extends HttpServerOptions {
  readonly jobs: JobService
  readonly auth: Authenticator
  readonly health: HealthSource
}

/** Starts the HTTP API for callers, specified in `docs/openapi/callers.yaml`. @public */
export function startCallerServer(
  options: CallerServerOptions,
): Effect.Effect<HttpServer, HttpServerError, Scope.Scope> {
  const routes = callerRoutes(options.jobs, resolveLimits(options))
  return openServer(options, options.auth, [...routes, ...healthRoutes(options.health)])
}

function callerRoutes(jobs: JobService, limits: HttpLimits): readonly Route[] {
  return [
    { method: Method.Post, path: 'v1/jobs', takesBody: true, handle: submitJob(jobs, limits) },
    { method: Method.Get, path: 'v1/jobs/{id}', takesBody: false, handle: queryJob(jobs) },
    { method: Method.Delete, path: 'v1/jobs/{id}', takesBody: false, handle: cancelJob(jobs) },
  ]
}
