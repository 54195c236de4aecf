import { instanceAt } from '@cherryhitch/dispatch'
import { systemClock } from '@cherryhitch/runtime'
import type { DispatchSettings } from '@cherryhitch/settings'
import type { PartLog, TelemetryError } from '@cherryhitch/telemetry'
import { Deferred, Effect } from 'effect'
import type { Scope } from 'effect'
import { awaitSignal } from '../serve/awaitSignal'
import { openDispatchTelemetry } from './DispatchTelemetry'
import type { DispatchTelemetry } from './DispatchTelemetry'
import { onReload } from './onReload'

/** What all parts of a process share. @internal */
export interface ProcessContext {
  readonly settings: DispatchSettings
  /** Name of this instance among the others. */
  readonly instance: string
  /** Higher than that of the earlier processes of this instance. */
  readonly boot: number
  /** When the process started, in milliseconds of its clock. */
  readonly startedAt: number
  readonly now: () => number
  readonly telemetry: DispatchTelemetry
  readonly log: PartLog
  /** A part died: the process ends, and the platform starts it again. */
  readonly onDefect: (defect: unknown) => void
  /** Ends with the reason to stop. */
  readonly awaitEnd: Effect.Effect<string>
}

/** Opens logs and metrics, and takes signals. @internal */
export function openProcess(
  settings: DispatchSettings,
  part: string,
): Effect.Effect<ProcessContext, TelemetryError, Scope.Scope> {
  const now = (): number => systemClock.now()
  const startedAt = now()
  return Effect.gen(function* () {
    const telemetry = yield* openDispatchTelemetry(settings)
    const log = telemetry.logger.forPart(part)
    const ended = Deferred.makeUnsafe<string>()
    yield* onReload(() => {
      log.info('reloaded; nothing that is in use has changed')
    })
    return {
      settings,
      instance: instanceAt(settings.host),
      boot: Date.now(),
      startedAt,
      now,
      telemetry,
      log,
      onDefect: (defect) => {
        log.error('a part died of a defect', { defect: String(defect) })
        // The first reason counts.
        Deferred.doneUnsafe(ended, Effect.succeed('a part died of a defect'))
      },
      awaitEnd: Effect.raceFirst(awaitSignal, Deferred.await(ended)),
    }
  })
}
