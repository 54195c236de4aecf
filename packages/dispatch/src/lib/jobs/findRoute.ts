import type { Route, RoutingTable } from '@cherryhitch/protocol'

/** A route, and the part of the path after its prefix. @internal */
export interface FoundRoute {
  readonly route: Route
  readonly rest: string
}

/** Finds the route of the host with the longest matching path prefix. @internal */
export function findRoute(
  table: RoutingTable | undefined,
  host: string,
  path: string,
): FoundRoute | undefined {
  let best: Route | undefined
  for (const route of table?.routes ?? []) {
    if (route.host !== host || !path.startsWith(route.pathPrefix)) continue
    if (best === undefined || route.pathPrefix.length > best.pathPrefix.length) best = route
  }
  return best && { route: best, rest: path.slice(best.pathPrefix.length) }
}
