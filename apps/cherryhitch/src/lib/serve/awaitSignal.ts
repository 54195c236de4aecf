import { Effect } from 'effect'

const signals = ['SIGTERM', 'SIGINT'] as const

/** Completes with the name of the first SIGTERM or SIGINT received. @internal */
export const awaitSignal: Effect.Effect<string> = Effect.callback((resume) => {
  const stops = signals.map((signal) => {
    const listen = (): void => {
      resume(Effect.succeed(signal))
    }
    process.once(signal, listen)
    return () => process.off(signal, listen)
  })
  return Effect.sync(() => {
    for (const stop of stops) stop()
  })
})
