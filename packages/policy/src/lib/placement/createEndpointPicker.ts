import { exhaustive } from '@cherryhitch/model'
import { PlacementRule } from '@cherryhitch/protocol'
import type { EndpointPicker } from './EndpointPicker'
import { RandomPicker } from './RandomPicker'
import { SpreadFastPicker } from './SpreadFastPicker'

/** Creates the picker selected by a preset. @public */
export function createEndpointPicker(rule: PlacementRule): EndpointPicker {
  switch (rule) {
    case PlacementRule.UNSPECIFIED:
    case PlacementRule.RANDOM:
      return new RandomPicker()
    case PlacementRule.SPREAD_FAST:
      return new SpreadFastPicker()
    default:
      return exhaustive(rule)
  }
}
