import type { Route, RoutingTable } from '@cherryhitch/protocol'
import { decodePath } from './decodePath'
import { normalizeHost } from './normalizeHost'

/** A route, and the part of the path after its prefix. @internal */
export interface FoundRoute {
  readonly route: Route
  readonly rest: string
}

/** A route with its host and prefix in the form in which they are compared. */
interface ComparableRoute {
  readonly route: Route
  readonly host: string
  readonly prefix: string
}

/** A table is looked up thousands of times, so its routes are normalized once. */
const comparable = new WeakMap<RoutingTable, readonly ComparableRoute[]>()

/**
 * Finds the route of the host with the longest matching path prefix.
 *
 * @param path - the decoded path of the request
 * @internal
 */
export function findRoute(
  table: RoutingTable | undefined,
  host: string,
  path: string,
): FoundRoute | undefined {
  if (table === undefined) return undefined
  const wanted = normalizeHost(host)
  let best: ComparableRoute | undefined
  for (const candidate of comparableRoutes(table)) {
    if (candidate.host !== wanted || !path.startsWith(candidate.prefix)) continue
    if (best === undefined || candidate.prefix.length > best.prefix.length) best = candidate
  }
  return best && { route: best.route, rest: path.slice(best.prefix.length) }
}

function comparableRoutes(table: RoutingTable): readonly ComparableRoute[] {
  const known = comparable.get(table)
  if (known !== undefined) return known
  const routes = table.routes.map((route) => {
    return { route, host: normalizeHost(route.host), prefix: decodePath(route.pathPrefix) }
  })
  comparable.set(table, routes)
  return routes
}
