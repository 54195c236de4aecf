import type { InstanceView } from '@cherryhitch/model'
import { parseJobId } from '@cherryhitch/model'
import type { OwnerContext } from '../OwnerContext'
import type { Cancellation } from './Cancellation'

/**
 * Ends the work of coordinators that are gone. A restarted one does not know its jobs any more;
 * a silent one may come back after a short cut, so its work goes on for a while.
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
    for (const coordinator of [...this.ctx.book.coordinatorNames()]) {
      const view = known.get(coordinator)
      if (view !== undefined) this.endOldBoots(now, view)
      if (view?.alive === true || view?.self === true) this.silentSince.delete(coordinator)
      else if (!this.silentSince.has(coordinator)) {
        this.silentSince.set(coordinator, view?.heardAt ?? now)
      }
    }
  }

  tick(now: number): void {
    for (const [coordinator, since] of this.silentSince) {
      if (now - since < this.ctx.timing.coordinatorLostMs) continue
      this.silentSince.delete(coordinator)
      const jobs = this.ctx.book.jobsOf(coordinator)
      if (jobs.length > 0) this.ctx.counters.coordinatorsLost++
      for (const job of jobs) this.cancellation.abandon(now, job)
    }
  }

  private endOldBoots(now: number, view: InstanceView): void {
    const old = this.ctx.book.jobsOf(view.instance).filter((job) => {
      const boot = parseJobId(job.jobId)?.boot
      return boot !== undefined && boot < view.boot
    })
    if (old.length > 0) this.ctx.counters.coordinatorsLost++
    for (const job of old) this.cancellation.abandon(now, job)
  }
}
