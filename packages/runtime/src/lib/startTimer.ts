import { Effect } from 'effect'
import type { Scope } from 'effect'

/**
 * Calls `onTick` at a fixed interval until the scope ends. Uses a Node.js timer, which costs less
 * than a sleeping fiber, because an idle instance does little else than tick.
 *
 * @public
 */
export function startTimer(
  intervalMs: number,
  onTick: () => void,
): Effect.Effect<void, never, Scope.Scope> {
  const start = Effect.sync(() => setInterval(onTick, intervalMs))
  const stop = (timer: NodeJS.Timeout) =>
    Effect.sync(() => {
      clearInterval(timer)
    })
  return Effect.asVoid(Effect.acquireRelease(start, stop))
}
