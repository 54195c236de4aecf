import { exhaustive } from '@cherryhitch/model'
import type { PresetDefinition } from '@cherryhitch/protocol'
import { AdmissionRule } from '@cherryhitch/protocol'
import type { Admission } from './Admission'
import { QueueLimitAdmission } from './QueueLimitAdmission'

/** Makes the admission rule that a preset names. @public */
export function createAdmission(preset: PresetDefinition): Admission {
  switch (preset.admissionRule) {
    case AdmissionRule.UNSPECIFIED:
    case AdmissionRule.QUEUE_LIMIT:
    case AdmissionRule.PREDICTED_FINISH:
      return new QueueLimitAdmission(preset)
    default:
      return exhaustive(preset.admissionRule)
  }
}
