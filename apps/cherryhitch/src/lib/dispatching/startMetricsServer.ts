import { metricsRoute, OpenAuthenticator, openServer } from '@cherryhitch/http-api'
import type { HttpServer, HttpServerError } from '@cherryhitch/http-api'
import type { Effect, Scope } from 'effect'
import type { ProcessContext } from './createProcessContext'

/** Serves the metrics at `/metrics` on the port named in the settings. @internal */
export function startMetricsServer({
  settings,
  telemetry,
}: ProcessContext): Effect.Effect<HttpServer, HttpServerError, Scope.Scope> {
  const { host, metricsPort: port } = settings
  const log = telemetry.lineLogger('metrics')
  const route = metricsRoute(() => telemetry.metrics.render())
  return openServer({ host, port, log }, new OpenAuthenticator(), [route])
}
