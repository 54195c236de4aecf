import { Effect } from 'effect'
import type { Route } from '../routing/Router'
import { Method } from '../routing/Router'

const OK = 200

/** Metrics in a text format, with its content type. @public */
export interface MetricsText {
  readonly contentType: string
  readonly body: string
}

/** Route for metrics scrapers; it needs no token. @public */
export function metricsRoute(metrics: () => Promise<MetricsText>): Route {
  const handle = () => Effect.map(Effect.promise(metrics), (text) => ({ status: OK, ...text }))
  return { method: Method.Get, path: 'metrics', takesBody: false, open: true, handle }
}
