import type { PartLog } from '@cherryhitch/telemetry'

/** Interval of log lines while no leader is known or no read was confirmed, in milliseconds. */
const REPORT_INTERVAL_MS = 2_000

/** What the search has found so far. */
export interface LeaderSearch {
  readonly leader: string
  /** Whether a majority has confirmed a read recently; undefined if this instance reads nothing. */
  readonly isReadConfirmed: boolean | undefined
  /** Voter hosts that are asked. */
  readonly hosts: readonly string[]
  /** Voter hosts that have answered. */
  readonly answered: readonly string[]
  /** Instances with an open connection. */
  readonly connected: readonly string[]
}

/**
 * Logs how long a process takes until it knows a leader and until its first confirmed read, and
 * what it has found while it waits.
 *
 * @internal
 */
export class LeaderSearchLog {
  private leaderAfterMs: number | undefined
  private readAfterMs: number | undefined
  private isEnded = false
  private waitingSince: number
  private reportDueAt: number

  /** @param startedAt - when the process started, in milliseconds of the clock of `now` */
  constructor(
    private readonly log: PartLog,
    private readonly startedAt: number,
  ) {
    this.waitingSince = startedAt
    this.reportDueAt = startedAt + REPORT_INTERVAL_MS
  }

  /** True until a leader was known and a read confirmed for the first time. */
  get isFirst(): boolean {
    return !this.isEnded
  }

  /** Values for metrics, in milliseconds; -1 until it was reached. */
  counters(): Record<string, number> {
    return {
      startToLeaderMs: this.leaderAfterMs ?? -1,
      startToReadMs: this.readAfterMs ?? -1,
    }
  }

  record(now: number, search: LeaderSearch): void {
    const afterMs = Math.round(now - this.startedAt)
    const { leader, isReadConfirmed, answered } = search
    if (leader !== '' && this.leaderAfterMs === undefined) {
      this.leaderAfterMs = afterMs
      this.log.info('first leader found', { afterMs, leader, answered })
    }
    if (isReadConfirmed === true && this.readAfterMs === undefined) {
      this.readAfterMs = afterMs
      this.log.info('first read confirmed', { afterMs, leader })
    }
    this.reportWaiting(now, search)
  }

  private reportWaiting(now: number, search: LeaderSearch): void {
    const { leader, isReadConfirmed, hosts, answered, connected } = search
    if (leader !== '' && isReadConfirmed !== false) {
      this.isEnded = true
      this.waitingSince = now
      this.reportDueAt = now + REPORT_INTERVAL_MS
      return
    }
    if (now < this.reportDueAt) return
    this.reportDueAt = now + REPORT_INTERVAL_MS
    const waitedMs = Math.round(now - this.waitingSince)
    const found = { waitedMs, leader, isReadConfirmed, hosts, answered, connected }
    this.log.warn('no leader is known, or no read is confirmed', found)
  }
}
