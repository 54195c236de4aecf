import { Effect } from 'effect'
import type { Scope } from 'effect'
import type http from 'node:http'
import type { Authenticator } from '../auth/Authenticator'
import type { Route } from '../routing/Router'
import { Router } from '../routing/Router'
import { createNodeServer } from './createNodeServer'
import type { HttpServer } from './HttpServer'
import { HttpServerError, HttpServerErrorKind } from './HttpServerError'
import type { HttpServerOptions } from './HttpServerOptions'
import { resolveClock, resolveLimits } from './HttpServerOptions'
import { ServerHost } from './ServerHost'

/** Starts a server for the routes; it shuts down when the scope closes. @public */
export function openServer(
  options: HttpServerOptions,
  auth: Authenticator,
  routes: readonly Route[],
): Effect.Effect<HttpServer, HttpServerError, Scope.Scope> {
  const start = Effect.gen(function* () {
    const limits = resolveLimits(options)
    const created = createNodeServer(limits, options.tls)
    if (created.err) return yield* Effect.fail(created.val)
    const node = created.val
    const router = new Router(routes)
    const host = new ServerHost({
      node,
      router,
      auth,
      limits,
      clock: resolveClock(options),
      log: options.log,
      onRefused: options.onRefused ?? (() => undefined),
    })
    yield* listen(node, options)
    return host
  })
  return Effect.acquireRelease(start, (host) =>
    Effect.sync(() => {
      host.shutDown()
    }),
  )
}

function listen(
  node: http.Server,
  { host, port }: HttpServerOptions,
): Effect.Effect<void, HttpServerError> {
  return Effect.callback<undefined, HttpServerError>((resume) => {
    node.once('error', (err) => {
      const message = `can't listen on ${host}:${port}`
      resume(Effect.fail(new HttpServerError(HttpServerErrorKind.ListenFailed, message, err)))
    })
    node.listen(port, host, () => {
      resume(Effect.succeed(undefined))
    })
  })
}
