import type { PresetDefinition } from '@cherryhitch/protocol'
import type { OwnerRouter } from './OwnerRouter'
import { OwnZoneRouter } from './OwnZoneRouter'

/** Makes the router that a preset asks for. @public */
export function createOwnerRouter(_preset: PresetDefinition): OwnerRouter {
  return new OwnZoneRouter()
}
