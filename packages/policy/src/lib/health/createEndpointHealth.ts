import { exhaustive } from '@cherryhitch/model'
import { HealthRule } from '@cherryhitch/protocol'
import { AlwaysHealthy } from './AlwaysHealthy'
import { ConsecutiveFailureHealth } from './ConsecutiveFailureHealth'
import { DecayedScoreHealth } from './DecayedScoreHealth'
import type { EndpointHealth } from './EndpointHealth'

/** Creates the health rule selected by a preset. @public */
export function createEndpointHealth(rule: HealthRule): EndpointHealth {
  switch (rule) {
    case HealthRule.UNSPECIFIED:
    case HealthRule.NONE:
      return new AlwaysHealthy()
    case HealthRule.CONSECUTIVE:
      return new ConsecutiveFailureHealth()
    case HealthRule.DECAYED_SCORE:
      return new DecayedScoreHealth()
    default:
      return exhaustive(rule)
  }
}
