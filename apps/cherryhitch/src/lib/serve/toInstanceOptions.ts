import type { Settings, Tokens } from '@cherryhitch/settings'
import type { Disk } from '@cherryhitch/storage'
import type { InstanceOptions } from '../instance/InstanceOptions'
import type { InstanceTelemetry } from '../instance/InstanceTelemetry'

/** Dependencies of an instance besides its settings. @internal */
export interface InstanceDependencies {
  readonly tokens: Tokens | undefined
  readonly disk: Disk | undefined
  readonly telemetry: InstanceTelemetry
}

/** Converts the settings of an instance to the options of `startInstance`. @internal */
export function toInstanceOptions(
  settings: Settings,
  { tokens, disk, telemetry }: InstanceDependencies,
): InstanceOptions {
  const { instance, zone, interfaces, peers, limits, timing } = settings
  return {
    instance,
    zone,
    ...interfaces,
    peers,
    limits,
    timing,
    telemetry,
    ...(disk === undefined ? {} : { disk }),
    ...(tokens === undefined ? {} : { tokens }),
  }
}
