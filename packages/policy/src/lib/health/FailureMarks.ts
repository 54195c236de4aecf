interface FailureMark {
  readonly jobId: string
  readonly at: number
  weight: number
}

/** Marks kept of one endpoint; by then it has been judged. */
const MAX_MARKS = 64
const NEGLIGIBLE_WEIGHT = 0.05

/**
 * The failures held against one endpoint, with a limit for each job. Marks fade with time, and
 * each success lightens them.
 *
 * @internal
 */
export class FailureMarks {
  private marks: FailureMark[] = []

  constructor(
    /** Age at which a mark counts 1/e, in milliseconds. */
    private readonly tauMs: number,
    /** What a success leaves of each mark, 0 to 1. */
    private readonly relief: number,
  ) {}

  /** @param jobLimit - most that one job's marks may weigh together */
  add(now: number, jobId: string, weight: number, jobLimit: number): void {
    const ofJob = this.marks.filter((mark) => mark.jobId === jobId)
    if (ofJob.reduce((sum, mark) => sum + mark.weight, weight) > jobLimit) return
    this.marks.push({ jobId, at: now, weight })
    if (this.marks.length > MAX_MARKS) this.marks.shift()
  }

  lighten(): void {
    if (this.marks.length === 0) return
    for (const mark of this.marks) mark.weight *= this.relief
    this.marks = this.marks.filter((mark) => mark.weight >= NEGLIGIBLE_WEIGHT)
  }

  withdraw(jobId: string): void {
    this.marks = this.marks.filter((mark) => mark.jobId !== jobId)
  }

  clear(): void {
    this.marks = []
  }

  /** @param withoutJob - leaves out the marks of this job */
  score(now: number, withoutJob?: string): number {
    return this.marks.reduce((sum, { at, weight, jobId }) => {
      if (jobId === withoutJob) return sum
      return sum + weight * Math.exp(-Math.max(0, now - at) / this.tauMs)
    }, 0)
  }
}
