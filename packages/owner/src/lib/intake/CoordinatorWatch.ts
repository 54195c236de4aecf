import type { InstanceView } from '@cherryhitch/model'
import { parseJobId } from '@cherryhitch/model'
import type { OwnerContext } from '../OwnerContext'
import type { Cancellation } from './Cancellation'

/**
 * Cancels the jobs of lost coordinators. A restarted coordinator no longer knows its jobs; a silent
 * one may return after a short network failure, so its jobs continue for `coordinatorTimeoutMs`.
 *
 * @internal
 */
export class CoordinatorWatch {
  private readonly silentSince = new Map<string, number>()

  constructor(
    private readonly ctx: OwnerContext,
    private readonly cancellation: Cancellation,
  ) {}

  membersChanged(now: number, members: readonly InstanceView[]): void {
    const known = new Map(members.map((member) => [member.instance, member]))
    for (const coordinator of [...this.ctx.registry.coordinatorNames()]) {
      const view = known.get(coordinator)
      if (view !== undefined) this.cancelJobsOfOldBoots(now, view)
      if (view?.alive === true || view?.self === true) this.silentSince.delete(coordinator)
      else if (!this.silentSince.has(coordinator)) {
        this.silentSince.set(coordinator, view?.heardAt ?? now)
      }
    }
  }

  tick(now: number): void {
    for (const [coordinator, since] of this.silentSince) {
      if (now - since < this.ctx.timing.coordinatorTimeoutMs) continue
      this.silentSince.delete(coordinator)
      const jobs = this.ctx.registry.jobsOf(coordinator)
      if (jobs.length > 0) this.ctx.counters.coordinatorsLost++
      for (const job of jobs) this.cancellation.cancelOrphanedJob(now, job)
    }
  }

  private cancelJobsOfOldBoots(now: number, view: InstanceView): void {
    const oldJobs = this.ctx.registry.jobsOf(view.instance).filter((job) => {
      const boot = parseJobId(job.jobId)?.boot
      return boot !== undefined && boot < view.boot
    })
    if (oldJobs.length > 0) this.ctx.counters.coordinatorsLost++
    for (const job of oldJobs) this.cancellation.cancelOrphanedJob(now, job)
  }
}
