import { instanceAt } from '@cherryhitch/dispatch'
import { systemClock } from '@cherryhitch/runtime'
import type { DispatchSettings } from '@cherryhitch/settings'
import type { PartLog, TelemetryError } from '@cherryhitch/telemetry'
import { Deferred, Effect } from 'effect'
import type { Scope } from 'effect'
import { awaitSignal } from '../serve/awaitSignal'
import { openDispatchTelemetry } from './DispatchTelemetry'
import type { DispatchTelemetry } from './DispatchTelemetry'
import { makeBoot } from './makeBoot'
import { onReload } from './onReload'

/** State and services shared by all parts of a process. @internal */
export interface ProcessContext {
  readonly settings: DispatchSettings
  /** Name of this instance, unique among all instances. */
  readonly instance: string
  /**
   * Differs from the boots of all earlier processes of this instance, and is higher unless the time of
   * day was set back.
   */
  readonly boot: number
  /** When the process started, in milliseconds of its clock. */
  readonly startedAt: number
  readonly now: () => number
  readonly telemetry: DispatchTelemetry
  readonly log: PartLog
  /** A part has failed: stops the process, which the platform then restarts. */
  readonly onDefect: (defect: unknown) => void
  /** Completes with the reason when the process has to stop. */
  readonly awaitStop: Effect.Effect<string>
}

/** Opens logs and metrics, and installs the signal handlers. @internal */
export function createProcessContext(
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
      log.info('SIGHUP received; no setting is reloaded')
    })
    return {
      settings,
      instance: instanceAt(settings.host),
      boot: makeBoot(Date.now()),
      startedAt,
      now,
      telemetry,
      log,
      onDefect: (defect) => {
        log.error('a part failed with an unexpected error', { defect: String(defect) })
        // Has no effect if a reason was set before.
        Deferred.doneUnsafe(ended, Effect.succeed('a part failed with an unexpected error'))
      },
      awaitStop: Effect.raceFirst(awaitSignal, Deferred.await(ended)),
    }
  })
}
