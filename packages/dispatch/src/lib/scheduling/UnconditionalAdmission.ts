import { JobAdmission } from './JobAdmission'
import type { AdmissionDecision, AdmissionInput } from './JobAdmission'

/**
 * Admits every job, as a baseline; jobs that get no slot are given up only near their deadline.
 *
 * @public
 */
export class UnconditionalAdmission extends JobAdmission {
  override decide(_now: number, { undecided }: AdmissionInput): AdmissionDecision {
    return { admitted: undecided, refused: [], late: [], slotsSimulated: 0 }
  }
}
