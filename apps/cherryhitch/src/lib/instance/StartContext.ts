import { PresetName, shippedPresets } from '@cherryhitch/control'
import type { PresetDefinition } from '@cherryhitch/protocol'
import { systemClock } from '@cherryhitch/runtime'
import type { DrainSignal } from './DrainSignal'
import { makeDrainSignal } from './DrainSignal'
import type { InstanceOptions, InstanceTiming } from './InstanceOptions'
import { defaultInstanceTiming } from './InstanceOptions'
import { InstanceParts } from './InstanceParts'
import { Readiness } from './Readiness'
import { SettingsDistributor } from './SettingsDistributor'

/** State shared by the functions that start the parts of an instance. @internal */
export interface StartContext {
  readonly options: InstanceOptions
  readonly timing: InstanceTiming
  readonly boot: number
  readonly parts: InstanceParts
  readonly settings: SettingsDistributor
  readonly ownerDrained: DrainSignal
  readonly coordinatorDrained: DrainSignal
}

/** Returns a log function that prefixes lines with the name of a part. @internal */
export function logOf(options: InstanceOptions, part: string): (line: string) => void {
  return (line) => {
    options.telemetry.log(part, line)
  }
}

/** @internal */
export function createStartContext(options: InstanceOptions): StartContext {
  const parts = new InstanceParts(new Readiness())
  return {
    options,
    timing: { ...defaultInstanceTiming, ...options.timing },
    boot: options.boot ?? Math.floor(systemClock.now()),
    parts,
    settings: new SettingsDistributor(parts, options.zone, logOf(options, 'settings')),
    ownerDrained: makeDrainSignal(),
    coordinatorDrained: makeDrainSignal(),
  }
}

/** The preset to use until the voters' settings are known. @internal */
export function initialPreset(): PresetDefinition {
  const ordinary = shippedPresets.find(({ name }) => name === (PresetName.Ordinary as string))
  if (ordinary === undefined)
    throw new Error('the ordinary preset is missing from the shipped presets')
  return ordinary
}
