import { DecayedSum } from '../util/DecayedSum'

/** Age at which what was seen counts 1/e, in milliseconds. */
const TAU_MS = 60_000
/** Less time under backlog than this says too little, in milliseconds. */
const MIN_SEEN_MS = 500
/** Assumed until then: the slots of a zone at the users' sizes, 64 to 88. */
const DEFAULT_RATE = 80

/**
 * Measures how much work a queue hands out in a given time while more is waiting: about the
 * number of slots behind it.
 *
 * @internal
 */
export class ServiceRate {
  private readonly workMs = new DecayedSum(TAU_MS)
  private readonly timeMs = new DecayedSum(TAU_MS)
  /** Since when tasks have been left waiting; undefined while none are. */
  private backlogSince: number | undefined
  private lastAt = 0

  /** Milliseconds of work handed out in each millisecond. */
  read(now: number): number {
    const seenMs = this.timeMs.read(now)
    return seenMs < MIN_SEEN_MS ? DEFAULT_RATE : Math.max(1, this.workMs.read(now) / seenMs)
  }

  noteTaken(now: number, workMs: number, leavesBacklog: boolean): void {
    // What fills free slots when a backlog begins says nothing about how fast they come free.
    if (this.backlogSince !== undefined && now > this.backlogSince) {
      this.workMs.add(now, workMs)
      this.timeMs.add(now, now - Math.max(this.lastAt, this.backlogSince))
    }
    this.lastAt = now
    if (!leavesBacklog) this.backlogSince = undefined
    else this.backlogSince ??= now
  }
}
