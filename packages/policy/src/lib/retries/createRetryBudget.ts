import type { PresetDefinition } from '@cherryhitch/protocol'
import type { RetryBudget } from './RetryBudget'
import { ShareRetryBudget } from './ShareRetryBudget'

/** Creates the retry budget configured by a preset. @public */
export function createRetryBudget(preset: PresetDefinition): RetryBudget {
  return new ShareRetryBudget({ share: preset.retryBudget })
}
