import type { SubmittedJob } from './ZoneMessages'

/** Jobs that may be with a holder, until they are over. @internal */
export class SubmittedJobs {
  readonly #overAt = new Map<string, number>()
  #purgeDueAt = -Infinity

  has(now: number, jobId: string): boolean {
    return (this.#overAt.get(jobId) ?? -Infinity) > now
  }

  add(now: number, jobId: string, overAt: number): void {
    this.#purge(now)
    const known = this.#overAt.get(jobId) ?? -Infinity
    this.#overAt.set(jobId, Math.max(known, overAt))
  }

  addAll(now: number, jobs: readonly SubmittedJob[]): void {
    for (const { jobId, overInMs } of jobs) this.add(now, jobId, now + overInMs)
  }

  list(now: number): readonly SubmittedJob[] {
    const open = [...this.#overAt].filter(([, overAt]) => overAt > now)
    return open.map(([jobId, overAt]) => ({ jobId, overInMs: overAt - now }))
  }

  clear(): void {
    this.#overAt.clear()
  }

  #purge(now: number): void {
    if (now < this.#purgeDueAt) return
    this.#purgeDueAt = now + PURGE_INTERVAL_MS
    for (const [jobId, overAt] of this.#overAt) if (overAt <= now) this.#overAt.delete(jobId)
  }
}

/** Interval at which jobs that are over are removed, in milliseconds. */
const PURGE_INTERVAL_MS = 500
