import type { Settings, Tokens } from '@cherryhitch/settings'
import type { Disk, StorageError } from '@cherryhitch/storage'
import { openDataFolder } from '@cherryhitch/storage'
import { Effect } from 'effect'
import type { Scope } from 'effect'
import type { Instance } from '../instance/Instance'
import { DrainEnd } from '../instance/Instance'
import { InstancePhase } from '../instance/Readiness'
import type { InstanceError } from '../instance/startInstance'
import { startInstance } from '../instance/startInstance'
import type { TelemetryError } from '@cherryhitch/telemetry'
import { awaitSignal } from './awaitSignal'
import { openTelemetry } from './openTelemetry'
import { toInstanceOptions } from './toInstanceOptions'

const DEFECT_POLL_MS = 500

/**
 * Runs an instance until SIGTERM, then drains it. A second signal ends the drain at once.
 *
 * @returns how the drain ended
 * @internal
 */
export function serve(
  settings: Settings,
  tokens: Tokens | undefined,
): Effect.Effect<DrainEnd, InstanceError | StorageError | TelemetryError> {
  const running = Effect.gen(function* () {
    const telemetry = yield* openTelemetry(settings)
    const disk = yield* openDisk(settings)
    const options = toInstanceOptions(settings, { tokens, disk, telemetry })
    const instance = yield* startInstance(options)
    const signal = yield* Effect.raceFirst(awaitSignal, awaitDefect(instance))
    telemetry.log('instance', `${signal} received`)
    const forcedEnd = Effect.map(awaitSignal, (again) => {
      telemetry.log(
        'instance',
        `${again} received during the drain; ${instance.jobsInFlight()} jobs are cut off`,
      )
      return DrainEnd.CutOff
    })
    return yield* Effect.raceFirst(instance.drain(), forcedEnd)
  })
  return Effect.scoped(running)
}

function openDisk(settings: Settings): Effect.Effect<Disk | undefined, StorageError, Scope.Scope> {
  if (!settings.voter || settings.dataFolder === undefined) return Effect.succeed(undefined)
  return Effect.map(openDataFolder(settings.dataFolder), ({ disk }) => disk)
}

/** Dies once a part has failed, which ends the process so that the platform restarts it. */
function awaitDefect(instance: Instance): Effect.Effect<never> {
  return Effect.gen(function* () {
    while (instance.phase !== InstancePhase.Broken) yield* Effect.sleep(DEFECT_POLL_MS)
    return yield* Effect.die(
      new Error('a part of the instance failed with an unexpected error; see the log'),
    )
  })
}
