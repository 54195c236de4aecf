import { Effect } from 'effect'
import type { Scope } from 'effect'

/**
 * Calls `onTick` repeatedly until the scope ends, first at once and then each time after the delay
 * in milliseconds that the previous call returned.
 *
 * @public
 */
export function startVariableTimer(onTick: () => number): Effect.Effect<void, never, Scope.Scope> {
  return Effect.suspend(() => {
    let timer: NodeJS.Timeout | undefined
    const run = (): void => {
      timer = setTimeout(run, onTick())
    }
    const stop = Effect.sync(() => {
      clearTimeout(timer)
    })
    return Effect.asVoid(Effect.acquireRelease(Effect.sync(run), () => stop))
  })
}
