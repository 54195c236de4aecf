/** What the ideal schedule knows of a job's tasks of one service, all of it true. @public */
export interface WaitingJob {
  readonly arrivalMs: number
  /** Sum of the run times of its tasks that have not started, in milliseconds. */
  readonly unstartedMs: number
  /** Place in the load, which breaks ties. */
  readonly place: number
}

/** Which of the waiting jobs the ideal schedule serves first. @public */
export abstract class IdealOrder {
  /** Negative when the first goes before the second. */
  abstract compare(a: WaitingJob, b: WaitingJob): number
}

/** First come, first served: the baseline, and the easier one to come near to. @public */
export class ArrivalOrder extends IdealOrder {
  override compare(a: WaitingJob, b: WaitingJob): number {
    return a.arrivalMs - b.arrivalMs || a.place - b.place
  }
}

/**
 * Least unstarted work first. Knowing every run time, this brings the mean response time down
 * the furthest of the simple orders, so it is the harder one to come near to. @public
 */
export class LeastWorkOrder extends IdealOrder {
  override compare(a: WaitingJob, b: WaitingJob): number {
    return a.unstartedMs - b.unstartedMs || a.arrivalMs - b.arrivalMs || a.place - b.place
  }
}
