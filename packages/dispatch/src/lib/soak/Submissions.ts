import { JobVerdict, makeJobOutcome } from '@cherryhitch/protocol'
import type { JobOutcome } from '@cherryhitch/protocol'

interface Submission {
  /** Number of attempts without an answer. */
  open: number
  /** The last answer other than a refusal. */
  other: JobOutcome | undefined
}

/** Attempts of callers to hand in each job, possibly at several entries. @internal */
export class Submissions {
  readonly #jobs = new Map<string, Submission>()

  begin(jobId: string): void {
    const { open, other } = this.#of(jobId)
    this.#jobs.set(jobId, { open: open + 1, other })
  }

  /** Records the answer to an attempt; returns what holds for the job as a whole. */
  settle(outcome: JobOutcome): JobOutcome {
    const { requestId, verdict } = outcome
    const { open, other } = this.#of(requestId)
    const isBetter = verdict !== JobVerdict.REFUSED && other?.verdict !== JobVerdict.COMPLETED
    const best = isBetter ? outcome : other
    this.#jobs.set(requestId, { open: open - 1, other: best })
    if (best !== undefined) return best
    if (open <= 1) return outcome
    return makeJobOutcome({ requestId, verdict: JobVerdict.UNKNOWN, reason: 'another is open' })
  }

  #of(jobId: string): Submission {
    return this.#jobs.get(jobId) ?? { open: 0, other: undefined }
  }
}
