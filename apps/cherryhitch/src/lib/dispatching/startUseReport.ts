import { startTimer } from '@cherryhitch/runtime'
import { ProcessUseReader } from '@cherryhitch/telemetry'
import { Effect } from 'effect'
import type { Scope } from 'effect'
import type { ProcessContext } from './openProcess'

/** A line of the log for each of these, in milliseconds: short beside a minute's trouble. */
const REPORT_MS = 4_000

/**
 * Logs what the process uses, and what its parts count beside it, so that a lack of processor time
 * can be told from a lack of endpoints afterwards.
 *
 * @param read - what the parts have counted since the start
 * @internal
 */
export function startUseReport(
  { log, telemetry }: ProcessContext,
  read: () => Readonly<Record<string, number>>,
): Effect.Effect<void, never, Scope.Scope> {
  return Effect.gen(function* () {
    const reader = yield* Effect.acquireRelease(
      Effect.sync(() => new ProcessUseReader()),
      (opened) =>
        Effect.sync(() => {
          opened.close()
        }),
    )
    telemetry.metrics.registerCounters('process', 'Used by the process.', () => {
      return { ...reader.read() }
    })
    yield* startTimer(REPORT_MS, () => {
      log.info('the process used so far', { ...reader.read(), ...read() })
    })
  })
}
