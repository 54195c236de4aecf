import { Effect } from 'effect'
import type { Scope } from 'effect'

/**
 * Calls back again and again until the scope ends, each time after as many milliseconds as the
 * last call asked for.
 *
 * @public
 */
export function startPacedTimer(onTick: () => number): Effect.Effect<void, never, Scope.Scope> {
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
