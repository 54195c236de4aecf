import { startTimer } from '@cherryhitch/runtime'
import { ProcessUseReader } from '@cherryhitch/telemetry'
import { Effect } from 'effect'
import type { Scope } from 'effect'
import type { ProcessContext } from './createProcessContext'

/** Interval of the log lines: short enough to resolve a disturbance of one minute. */
const REPORT_INTERVAL_MS = 4_000

/**
 * Periodically logs the resource usage of the process together with the counters of its parts, so
 * that a shortage of processor time can later be distinguished from a shortage of endpoints.
 *
 * @param read - returns the counters of the parts since the start
 * @internal
 */
export function startUsageReport(
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
    yield* startTimer(REPORT_INTERVAL_MS, () => {
      log.info('resource usage since the start of the process', { ...reader.read(), ...read() })
    })
  })
}
