import { exhaustive } from '@cherryhitch/model'
import { PlacementRule } from '@cherryhitch/protocol'
import type { EndpointPicker } from './EndpointPicker'
import { RandomPicker } from './RandomPicker'

/** Makes the picker that a preset names. @public */
export function createEndpointPicker(rule: PlacementRule): EndpointPicker {
  switch (rule) {
    case PlacementRule.UNSPECIFIED:
    case PlacementRule.RANDOM:
    case PlacementRule.SPREAD_FAST:
      return new RandomPicker()
    default:
      return exhaustive(rule)
  }
}
