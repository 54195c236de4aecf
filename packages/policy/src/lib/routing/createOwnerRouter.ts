import type { PresetDefinition } from '@cherryhitch/protocol'
import { MeasuredWaitRouter } from './MeasuredWaitRouter'
import type { OwnerRouter } from './OwnerRouter'

/** Makes the router that a preset asks for. @public */
export function createOwnerRouter(preset: PresetDefinition): OwnerRouter {
  return new MeasuredWaitRouter({ spillMarginMs: preset.spillMarginMs })
}
