import type { PresetDefinition } from '@cherryhitch/protocol'
import { Reason } from '@cherryhitch/protocol'
import { Admission } from './Admission'
import type { AdmissionDecision, AdmissionRequest } from './Admission'

const RETRY_AFTER_MS = 1000

/** Baseline: admits until the number of jobs in flight reaches the preset's limit. @public */
export class QueueLimitAdmission extends Admission {
  constructor(private readonly preset: PresetDefinition) {
    super()
  }

  override decide(_now: number, request: AdmissionRequest): AdmissionDecision {
    if (request.jobsInFlight < this.preset.jobsInFlightPerInstance) return { admitted: true }
    return {
      admitted: false,
      reason: Reason.QUEUE_FULL,
      detail: `The limit of ${this.preset.jobsInFlightPerInstance} jobs in flight is reached.`,
      retryAfterMs: RETRY_AFTER_MS,
    }
  }
}
