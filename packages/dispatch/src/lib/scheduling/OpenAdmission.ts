import { JobAdmission } from './JobAdmission'
import type { AdmissionDecision, AdmissionInput } from './JobAdmission'

/** Takes every job in; what gets no place learns it at the end of its time: the baseline. @public */
export class OpenAdmission extends JobAdmission {
  override decide(_now: number, { newcomers }: AdmissionInput): AdmissionDecision {
    return { admitted: newcomers, refused: [], placesForecast: 0 }
  }
}
