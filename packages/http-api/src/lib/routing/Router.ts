import type { Effect } from 'effect'
import type { Result } from 'ts-results'
import type { ApiRequest } from '../exchange/ApiRequest'
import type { Reply } from '../exchange/Reply'
import { RequestError, RequestErrorKind } from '../problems/RequestError'
import { Err, Ok } from '@cherryhitch/model'

/** @public */
export enum Method {
  Get = 'GET',
  Post = 'POST',
  Put = 'PUT',
  Delete = 'DELETE',
}

/** Handles one authenticated request with its complete body. @public */
export type Handler = (req: ApiRequest) => Effect.Effect<Reply, RequestError>

/** @public */
export interface Route {
  readonly method: Method
  /**
   * Segments after the leading slash; `{name}` matches one non-empty segment, and `{name...}` at
   * the end matches all remaining segments, if any.
   */
  readonly path: string
  /** Whether requests have a JSON body. */
  readonly takesBody: boolean
  /** Whether requests need no authentication. */
  readonly open?: boolean
  /** Whether the handler reads the path from the target itself; `path` isn't compared then. */
  readonly takesAnyTarget?: boolean
  readonly handle: Handler
}

/** @public */
export interface RouteMatch {
  readonly route: Route
  readonly params: Readonly<Record<string, string>>
}

interface CompiledRoute {
  readonly route: Route
  readonly segments: readonly string[]
}

const variablePattern = /^\{(\w+)\}$/
const restPattern = /^\{(\w+)\.\.\.\}$/

function matchSegments(
  pattern: readonly string[],
  segments: readonly string[],
): Record<string, string> | undefined {
  const rest = restPattern.exec(pattern.at(-1) ?? '')?.[1]
  const params: Record<string, string> = {}
  const fixed = rest === undefined ? pattern : pattern.slice(0, -1)
  if (rest !== undefined) params[rest] = segments.slice(fixed.length).join('/')
  else if (pattern.length !== segments.length) return undefined
  if (segments.length < fixed.length) return undefined
  for (const [i, expected] of fixed.entries()) {
    const segment = segments[i] ?? ''
    const variable = variablePattern.exec(expected)?.[1]
    if (variable === undefined && expected !== segment) return undefined
    if (variable !== undefined && segment === '') return undefined
    if (variable !== undefined) params[variable] = segment
  }
  return params
}

/** Finds the route for a method and a path. @public */
export class Router {
  private readonly compiled: readonly CompiledRoute[]

  constructor(routes: readonly Route[]) {
    this.compiled = routes.map((route) => ({ route, segments: route.path.split('/') }))
  }

  find(method: string, path: string): Result<RouteMatch, RequestError> {
    const segments = decodeSegments(path)
    const allowed = new Set<string>()
    for (const { route, segments: pattern } of this.compiled) {
      const takesAny = route.takesAnyTarget === true
      const params = takesAny ? {} : segments && matchSegments(pattern, segments)
      if (params === undefined) continue
      if (accepts(route, method)) return Ok({ route, params })
      allowed.add(route.method)
      if (route.method === Method.Get) allowed.add('HEAD')
    }
    if (allowed.size === 0) return Err(notFound(path))
    return Err(methodNotAllowed([...allowed].sort()))
  }
}

/** HEAD is handled as GET; Node omits the body. */
function accepts(route: Route, method: string): boolean {
  const wanted = method === 'HEAD' ? 'GET' : method
  return wanted === (route.method as string)
}

function decodeSegments(path: string): readonly string[] | undefined {
  if (!path.startsWith('/')) return undefined
  try {
    return path.slice(1).split('/').map(decodeURIComponent)
  } catch {
    return undefined
  }
}

function notFound(path: string): RequestError {
  return new RequestError(RequestErrorKind.NotFound, `There is no resource at ${path}.`)
}

function methodNotAllowed(allowed: readonly string[]): RequestError {
  const allow = allowed.join(', ')
  return new RequestError(RequestErrorKind.MethodNotAllowed, `Allowed here: ${allow}.`, {
    Allow: allow,
  })
}
