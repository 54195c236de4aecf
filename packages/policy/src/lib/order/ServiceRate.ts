import { DecayedSum } from '../util/DecayedSum'

/** Age at which a measurement has decayed to 1/e, in milliseconds. */
const TAU_MS = 60_000
/** Minimum time under backlog for a usable measurement, in milliseconds. */
const MIN_BACKLOG_MS = 500
/** Assumed before that; a typical availability zone has 64 to 88 slots. */
const DEFAULT_RATE = 80

/**
 * Measures the rate at which a queue hands out work while it has a backlog. The rate is about the
 * number of slots that the queue serves.
 *
 * @internal
 */
export class ServiceRate {
  private readonly workMs = new DecayedSum(TAU_MS)
  private readonly timeMs = new DecayedSum(TAU_MS)
  /** Start of the current backlog; undefined while no tasks are waiting. */
  private backlogSince: number | undefined
  private lastPopAt = 0

  /** Milliseconds of work handed out in each millisecond. */
  read(now: number): number {
    const seenMs = this.timeMs.read(now)
    return seenMs < MIN_BACKLOG_MS ? DEFAULT_RATE : Math.max(1, this.workMs.read(now) / seenMs)
  }

  recordPop(now: number, workMs: number, leavesBacklog: boolean): void {
    // Tasks that fill free slots at the start of a backlog don't tell how fast slots become free.
    if (this.backlogSince !== undefined && now > this.backlogSince) {
      this.workMs.add(now, workMs)
      this.timeMs.add(now, now - Math.max(this.lastPopAt, this.backlogSince))
    }
    this.lastPopAt = now
    if (!leavesBacklog) this.backlogSince = undefined
    else this.backlogSince ??= now
  }
}
