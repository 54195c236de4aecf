import { exhaustive } from '@cherryhitch/model'
import { HealthRule } from '@cherryhitch/protocol'
import { AlwaysHealthy } from './AlwaysHealthy'
import type { EndpointHealth } from './EndpointHealth'

/** Makes the health rule that a preset names. @public */
export function createEndpointHealth(rule: HealthRule): EndpointHealth {
  switch (rule) {
    case HealthRule.UNSPECIFIED:
    case HealthRule.NONE:
    case HealthRule.CONSECUTIVE:
    case HealthRule.DECAYED_SCORE:
      return new AlwaysHealthy()
    default:
      return exhaustive(rule)
  }
}
