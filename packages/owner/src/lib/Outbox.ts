import type { TaskReport } from '@cherryhitch/protocol'
import { envelope } from '@cherryhitch/protocol'
import type { OwnerAction } from './OwnerAction'
import { OwnerActionKind } from './OwnerAction'

/**
 * Collects the actions of one step. Task reports are batched into one message per coordinator.
 *
 * @internal
 */
export class Outbox {
  private actions: OwnerAction[] = []
  private readonly reports = new Map<string, Map<string, TaskReport[]>>()

  push(action: OwnerAction): void {
    this.actions.push(action)
  }

  send(to: string, body: Parameters<typeof envelope>[0]): void {
    this.actions.push({ kind: OwnerActionKind.Send, to, envelope: envelope(body) })
  }

  report(coordinator: string, jobId: string, report: TaskReport): void {
    const jobs = this.reports.get(coordinator) ?? new Map<string, TaskReport[]>()
    this.reports.set(coordinator, jobs)
    const reports = jobs.get(jobId)
    if (reports === undefined) jobs.set(jobId, [report])
    else reports.push(report)
  }

  /** Returns all collected actions, and leaves the outbox empty. */
  take(): readonly OwnerAction[] {
    for (const [coordinator, jobs] of this.reports) {
      const batches = [...jobs].map(([jobId, reports]) => ({ jobId, reports }))
      this.send(coordinator, { case: 'taskReports', value: { jobs: batches } })
    }
    this.reports.clear()
    const taken = this.actions
    this.actions = []
    return taken
  }
}
