import { Effect } from 'effect'
import type { Scope } from 'effect'

/**
 * Calls back at a steady pace until the scope ends. A timer of Node.js costs less than a fiber
 * that sleeps, and an idle instance does little else than tick.
 *
 * @public
 */
export function startTimer(
  everyMs: number,
  onTick: () => void,
): Effect.Effect<void, never, Scope.Scope> {
  const start = Effect.sync(() => setInterval(onTick, everyMs))
  const stop = (timer: NodeJS.Timeout) =>
    Effect.sync(() => {
      clearInterval(timer)
    })
  return Effect.asVoid(Effect.acquireRelease(start, stop))
}
