import type { Settings } from '@cherryhitch/settings'
import { Effect } from 'effect'
import type { Scope } from 'effect'
import type { InstanceTelemetry } from '../instance/InstanceTelemetry'
import { PlainTelemetry } from '../instance/InstanceTelemetry'

/** Opens logs, metrics and traces as the settings ask for them. @internal */
export function openTelemetry(
  settings: Settings,
): Effect.Effect<InstanceTelemetry, never, Scope.Scope> {
  return Effect.sync(
    () =>
      new PlainTelemetry((line) => {
        process.stdout.write(`${settings.instance} ${line}\n`)
      }),
  )
}
