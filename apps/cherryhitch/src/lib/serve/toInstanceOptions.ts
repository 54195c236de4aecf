import type { Settings, Tokens } from '@cherryhitch/settings'
import type { Disk } from '@cherryhitch/storage'
import type { InstanceOptions } from '../instance/InstanceOptions'
import type { InstanceTelemetry } from '../instance/InstanceTelemetry'

/** What an instance needs besides its settings. @internal */
export interface InstanceSurroundings {
  readonly tokens: Tokens | undefined
  readonly disk: Disk | undefined
  readonly telemetry: InstanceTelemetry
}

/** Turns the settings of an instance into the options that start it. @internal */
export function toInstanceOptions(
  settings: Settings,
  { tokens, disk, telemetry }: InstanceSurroundings,
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
