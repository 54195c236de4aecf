import type { Admission, OwnerRouter, RetryBudget } from '@cherryhitch/policy'
import {
  createAdmission,
  createOwnerRouter,
  createRetryBudget,
  createRunTimeEstimator,
} from '@cherryhitch/policy'
import type { PresetDefinition } from '@cherryhitch/protocol'

/** The policies of the preset in force. @internal */
export class ActivePolicies {
  /** What was learned of run times outlives a change of preset. */
  readonly estimator = createRunTimeEstimator()
  router: OwnerRouter
  admission: Admission
  retries: RetryBudget
  version = 0
  current = false
  private isApplied = false

  constructor(preset: PresetDefinition) {
    this.router = createOwnerRouter(preset)
    this.admission = createAdmission(preset)
    this.retries = createRetryBudget(preset)
  }

  /** Puts a preset in force. An older version than the present one is ignored: none reverts. */
  apply(preset: PresetDefinition, version: number, current: boolean): void {
    if (version < this.version) return
    this.current = current
    if (version === this.version && this.isApplied) return
    this.isApplied = true
    this.version = version
    this.router = createOwnerRouter(preset)
    this.admission = createAdmission(preset)
    this.retries = createRetryBudget(preset)
  }
}
