import { parseJobId, groupBy } from '@cherryhitch/model'
import type { JobReports, TaskReport, TaskReports } from '@cherryhitch/protocol'
import { Outcome, Reason } from '@cherryhitch/protocol'
import type { CoordinatorContext } from '../CoordinatorContext'
import type { Job, TaskRecord } from '../jobs/Job'
import { JobPhase, TaskPhase } from '../jobs/Job'
import type { JobEnding } from '../jobs/JobEnding'
import type { JobProblem } from '../jobs/jobAnswers'
import { problem } from '../jobs/jobAnswers'
import type { RetryScheduler } from './RetryScheduler'
import { reportedProblem } from './RetryScheduler'
import type { TaskTracker } from './TaskTracker'

interface NotRunReport {
  readonly task: TaskRecord
  readonly report: TaskReport
}

/** Processes task reports from owners, and ignores repeated ones. @internal */
export class ReportHandler {
  constructor(
    private readonly context: CoordinatorContext,
    private readonly tracker: TaskTracker,
    private readonly retries: RetryScheduler,
    private readonly ending: JobEnding,
  ) {}

  handle(now: number, from: string, message: TaskReports): void {
    for (const reports of message.jobs) this.handleJobReports(now, from, reports)
  }

  /** @returns undefined, after counting the reports, if the job is not in flight here */
  findJob(jobId: string, reports: number): Job | undefined {
    const { options, counters, jobs } = this.context
    const id = parseJobId(jobId)
    if (id?.coordinator !== options.instance || id.boot !== options.boot) {
      counters.foreignReports += reports
      return undefined
    }
    const job = jobs.get(id.sequence)
    if (job === undefined) counters.lateReports += reports
    return job
  }

  private handleJobReports(now: number, from: string, { jobId, reports }: JobReports): void {
    this.context.counters.reports += reports.length
    const job = this.findJob(jobId, reports.length)
    if (job === undefined) return
    let failure: JobProblem | undefined
    const notRun: NotRunReport[] = []
    for (const report of reports) {
      const task = this.findTask(job, from, report)
      if (task === undefined) continue
      if (report.outcome === Outcome.NOT_RUN) {
        this.tracker.markNotRun(now, task, from)
        notRun.push({ task, report })
      } else if (report.outcome === Outcome.SUCCEEDED) this.succeed(now, task, report)
      else {
        this.tracker.fail(now, task)
        failure ??= failureOf(report)
      }
    }
    // All reports are applied before the job fails, so that its answer states the exact outcome.
    if (failure !== undefined) this.ending.fail(now, job, failure)
    else if (job.remaining === 0) this.ending.succeed(now, job)
    else this.retryNotRun(now, job, notRun)
  }

  private retryNotRun(now: number, job: Job, notRun: readonly NotRunReport[]): void {
    const byReason = groupBy(notRun, ({ report }) => report.reason)
    for (const group of byReason.values()) {
      const [first] = group
      if (first === undefined || job.phase === JobPhase.Ended) return
      const tasks = group.map(({ task }) => task)
      this.retries.retryOrFail(now, job, tasks, reportedProblem(first.report))
    }
  }

  private succeed(now: number, task: TaskRecord, report: TaskReport): void {
    this.tracker.succeed(now, task, report.output)
    const spec = task.job.spec.tasks[task.index]
    if (spec === undefined || report.runMs <= 0) return
    this.context.policies.estimator.observe(
      now,
      {
        caller: task.job.caller,
        service: spec.service,
        declaredMs: spec.expectedRunMs,
      },
      report.runMs,
    )
  }

  private findTask(job: Job, from: string, report: TaskReport): TaskRecord | undefined {
    const { counters } = this.context
    const task = job.tasks[report.index]
    if (task === undefined) {
      counters.foreignReports++
      return undefined
    }
    // A repeated "not run" from an owner is ignored, as the task has since been placed elsewhere.
    // Any other report from it counts, as the task may have been passed on to it since.
    const isRepeated = report.outcome === Outcome.NOT_RUN && task.refusedBy.includes(from)
    if (task.phase !== TaskPhase.InFlight || isRepeated) {
      counters.repeatedReports++
      return undefined
    }
    if (task.placement?.owner !== from) counters.passedOnReports++
    return task
  }
}

function failureOf(report: TaskReport): JobProblem {
  if (report.outcome === Outcome.FAILED) {
    const detail = report.detail === '' ? 'A task failed at its endpoint.' : report.detail
    return problem(Reason.TASK_FAILED, detail, report.retryAfterMs)
  }
  return reportedProblem(report)
}
