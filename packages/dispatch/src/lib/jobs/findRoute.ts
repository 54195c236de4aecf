import type { Route, RoutingTable } from '@cherryhitch/protocol'

/** A route and what follows its prefix in the path. @internal */
export interface FoundRoute {
  readonly route: Route
  readonly rest: string
}

/** The route with the longest prefix of the path, among those of the host. @internal */
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
