import { Effect } from 'effect'
import type { Scope } from 'effect'

/** Calls back on each SIGHUP; without a listener, SIGHUP would end the process. @internal */
export function onReload(reload: () => void): Effect.Effect<void, never, Scope.Scope> {
  const listen = Effect.sync(() => process.on('SIGHUP', reload))
  const stop = () => Effect.sync(() => process.off('SIGHUP', reload))
  return Effect.asVoid(Effect.acquireRelease(listen, stop))
}
