import { PresetName, shippedPresets } from '@cherryhitch/control'
import type { PresetDefinition } from '@cherryhitch/protocol'
import { systemClock } from '@cherryhitch/runtime'
import type { DrainSignal } from './DrainSignal'
import { makeDrainSignal } from './DrainSignal'
import type { InstanceOptions, InstanceTiming } from './InstanceOptions'
import { defaultInstanceTiming } from './InstanceOptions'
import { InstanceParts } from './InstanceParts'
import { Readiness } from './Readiness'
import { SettingsKeeper } from './SettingsKeeper'

/** What the starting functions share. @internal */
export interface StartContext {
  readonly options: InstanceOptions
  readonly timing: InstanceTiming
  readonly boot: number
  readonly parts: InstanceParts
  readonly settings: SettingsKeeper
  readonly ownerDrained: DrainSignal
  readonly coordinatorDrained: DrainSignal
}

/** Logs with the prefix of a part. @internal */
export function logOf(options: InstanceOptions, part: string): (line: string) => void {
  return (line) => {
    options.telemetry.log(part, line)
  }
}

/** @internal */
export function makeContext(options: InstanceOptions): StartContext {
  const parts = new InstanceParts(new Readiness())
  return {
    options,
    timing: { ...defaultInstanceTiming, ...options.timing },
    boot: options.boot ?? Math.floor(systemClock.now()),
    parts,
    settings: new SettingsKeeper(parts, logOf(options, 'settings')),
    ownerDrained: makeDrainSignal(),
    coordinatorDrained: makeDrainSignal(),
  }
}

/** In force until the voters' settings are known. @internal */
export function firstPreset(): PresetDefinition {
  const ordinary = shippedPresets.find(({ name }) => name === (PresetName.Ordinary as string))
  if (ordinary === undefined) throw new Error('the ordinary preset is not shipped')
  return ordinary
}
