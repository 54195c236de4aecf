import type { PresetDefinition } from '@cherryhitch/protocol'
import type { RetryBudget } from './RetryBudget'
import { ShareRetryBudget } from './ShareRetryBudget'

/** Makes the retry budget that a preset asks for. @public */
export function createRetryBudget(preset: PresetDefinition): RetryBudget {
  return new ShareRetryBudget({ share: preset.retryBudget })
}
