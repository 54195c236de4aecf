import { exhaustive } from '@cherryhitch/model'
import type { PresetDefinition } from '@cherryhitch/protocol'
import { AdmissionRule, QueueOrder } from '@cherryhitch/protocol'
import type { Admission } from './Admission'
import { PredictedFinishAdmission } from './PredictedFinishAdmission'
import { QueueLimitAdmission } from './QueueLimitAdmission'

/** Creates the admission rule selected by a preset. @public */
export function createAdmission(preset: PresetDefinition): Admission {
  switch (preset.admissionRule) {
    case AdmissionRule.UNSPECIFIED:
    case AdmissionRule.QUEUE_LIMIT:
      return new QueueLimitAdmission(preset)
    case AdmissionRule.PREDICTED_FINISH:
      return new PredictedFinishAdmission({
        jobsInFlight: preset.jobsInFlightPerInstance,
        queuedTasksPerSlot: preset.queuedTasksPerSlot,
        callerQueueShare: preset.callerQueueShare,
        byDueTime: preset.queueOrder === QueueOrder.DEADLINE_FAIR,
      })
    default:
      return exhaustive(preset.admissionRule)
  }
}
