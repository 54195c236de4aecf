import type { PresetDefinition } from '@cherryhitch/protocol'
import { MeasuredWaitRouter } from './MeasuredWaitRouter'
import type { OwnerRouter } from './OwnerRouter'

/** Creates the router configured by a preset. @public */
export function createOwnerRouter(preset: PresetDefinition): OwnerRouter {
  return new MeasuredWaitRouter({ spillMarginMs: preset.spillMarginMs })
}
