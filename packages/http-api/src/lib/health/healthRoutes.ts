import { Effect } from 'effect'
import type { Reply } from '../exchange/Reply'
import { jsonReply } from '../exchange/Reply'
import type { Route } from '../routing/Router'
import { Method } from '../routing/Router'
import type { HealthSource } from './HealthSource'

const OK = 200
const UNAVAILABLE = 503

/** Routes of the liveness and readiness probes; they need no token. @public */
export function healthRoutes(health: HealthSource): readonly Route[] {
  return [probe('healthz', () => health.isAlive()), probe('readyz', () => health.isReady())]
}

function probe(path: string, check: () => boolean): Route {
  const handle = () => Effect.sync(() => probeReply(check()))
  return { method: Method.Get, path, takesBody: false, open: true, handle }
}

function probeReply(ok: boolean): Reply {
  return jsonReply(ok ? OK : UNAVAILABLE, { ok })
}
