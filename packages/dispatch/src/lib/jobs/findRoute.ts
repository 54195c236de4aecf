import type { Route, RoutingTable } from '@cherryhitch/protocol'
import { normalizeHost } from './normalizeHost'

/** A route, and the part of the path after its prefix. @internal */
export interface FoundRoute {
  readonly route: Route
  readonly rest: string
}

/** A route with its host as hosts are compared. */
interface ComparableRoute {
  readonly route: Route
  readonly host: string
}

/** A table is looked up thousands of times, so its hosts are normalized once. */
const comparable = new WeakMap<RoutingTable, readonly ComparableRoute[]>()

/** Finds the route of the host with the longest matching path prefix. @internal */
export function findRoute(
  table: RoutingTable | undefined,
  host: string,
  path: string,
): FoundRoute | undefined {
  if (table === undefined) return undefined
  const wanted = normalizeHost(host)
  let best: Route | undefined
  for (const { route, host: own } of comparableRoutes(table)) {
    if (own !== wanted || !path.startsWith(route.pathPrefix)) continue
    if (best === undefined || route.pathPrefix.length > best.pathPrefix.length) best = route
  }
  return best && { route: best, rest: path.slice(best.pathPrefix.length) }
}

function comparableRoutes(table: RoutingTable): readonly ComparableRoute[] {
  const known = comparable.get(table)
  if (known !== undefined) return known
  const routes = table.routes.map((route) => ({ route, host: normalizeHost(route.host) }))
  comparable.set(table, routes)
  return routes
}
