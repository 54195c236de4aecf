import { metricsRoute, OpenAuthenticator, openServer } from '@cherryhitch/http-api'
import type { HttpServer, HttpServerError } from '@cherryhitch/http-api'
import type { Effect, Scope } from 'effect'
import type { ProcessContext } from './openProcess'

/** Serves the metrics at `/metrics` on the port of the settings. @internal */
export function startMetricsServer({
  settings,
  telemetry,
}: ProcessContext): Effect.Effect<HttpServer, HttpServerError, Scope.Scope> {
  const { host, metricsPort: port } = settings
  const log = telemetry.lines('metrics')
  const route = metricsRoute(() => telemetry.metrics.render())
  return openServer({ host, port, log }, new OpenAuthenticator(), [route])
}
