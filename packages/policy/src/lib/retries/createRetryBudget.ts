import type { PresetDefinition } from '@cherryhitch/protocol'
import { FixedRetries } from './FixedRetries'
import type { RetryBudget } from './RetryBudget'

/** Makes the retry budget that a preset asks for. @public */
export function createRetryBudget(_preset: PresetDefinition): RetryBudget {
  return new FixedRetries()
}
