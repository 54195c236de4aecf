import type { Admission, OwnerRouter, RetryBudget } from '@cherryhitch/policy'
import {
  createAdmission,
  createOwnerRouter,
  createRetryBudget,
  createRunTimeEstimator,
} from '@cherryhitch/policy'
import type { PresetDefinition } from '@cherryhitch/protocol'

/** The policies created from the preset in force. @internal */
export class ActivePolicies {
  /** Kept when the preset changes, so that learned run times are not lost. */
  readonly estimator = createRunTimeEstimator()
  router: OwnerRouter
  admission: Admission
  retryBudget: RetryBudget
  version = 0
  current = false
  private isApplied = false

  constructor(preset: PresetDefinition) {
    this.router = createOwnerRouter(preset)
    this.admission = createAdmission(preset)
    this.retryBudget = createRetryBudget(preset)
  }

  /** Applies a preset. Ignores a version older than the present one, so that no preset reverts. */
  apply(preset: PresetDefinition, version: number, current: boolean): void {
    if (version < this.version) return
    this.current = current
    if (version === this.version && this.isApplied) return
    this.isApplied = true
    this.version = version
    this.router = createOwnerRouter(preset)
    this.admission = createAdmission(preset)
    this.retryBudget = createRetryBudget(preset)
  }
}
