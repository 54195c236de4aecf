import { parseJobId, groupBy } from '@cherryhitch/model'
import type { JobReports, TaskReport, TaskReports } from '@cherryhitch/protocol'
import { Outcome, Reason } from '@cherryhitch/protocol'
import type { CoordinatorContext } from '../CoordinatorContext'
import type { Job, TaskRecord } from '../jobs/Job'
import { JobPhase, TaskPhase } from '../jobs/Job'
import type { JobEnding } from '../jobs/JobEnding'
import type { JobProblem } from '../jobs/jobAnswers'
import { problem } from '../jobs/jobAnswers'
import type { Retries } from './Retries'
import { reportedProblem } from './Retries'
import type { TaskFlight } from './TaskFlight'

interface NotRun {
  readonly task: TaskRecord
  readonly report: TaskReport
}

/** Takes in what owners report, once for each task. @internal */
export class ReportDesk {
  constructor(
    private readonly context: CoordinatorContext,
    private readonly flight: TaskFlight,
    private readonly retries: Retries,
    private readonly ending: JobEnding,
  ) {}

  take(now: number, from: string, message: TaskReports): void {
    for (const reports of message.jobs) this.takeJob(now, from, reports)
  }

  /** @returns undefined, with the message counted, when no running job of ours is meant */
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

  private takeJob(now: number, from: string, { jobId, reports }: JobReports): void {
    this.context.counters.reports += reports.length
    const job = this.findJob(jobId, reports.length)
    if (job === undefined) return
    let failure: JobProblem | undefined
    const notRun: NotRun[] = []
    for (const report of reports) {
      const task = this.findTask(job, from, report)
      if (task === undefined) continue
      if (report.outcome === Outcome.NOT_RUN) {
        this.flight.withdraw(now, task, from)
        notRun.push({ task, report })
      } else if (report.outcome === Outcome.SUCCEEDED) this.succeed(now, task, report)
      else {
        this.flight.fail(now, task)
        failure ??= failureOf(report)
      }
    }
    // The whole message counts before a failure is answered, so that the answer is exact.
    if (failure !== undefined) this.ending.fail(now, job, failure)
    else if (job.remaining === 0) this.ending.succeed(now, job)
    else this.considerAgain(now, job, notRun)
  }

  private considerAgain(now: number, job: Job, notRun: readonly NotRun[]): void {
    const byReason = groupBy(notRun, ({ report }) => report.reason)
    for (const group of byReason.values()) {
      const [first] = group
      if (first === undefined || job.phase === JobPhase.Ended) return
      const tasks = group.map(({ task }) => task)
      this.retries.consider(now, job, tasks, reportedProblem(first.report))
    }
  }

  private succeed(now: number, task: TaskRecord, report: TaskReport): void {
    this.flight.succeed(now, task, report.output)
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
    // One that said "not run" before may repeat itself: the task is with another owner now. Any
    // other word of it counts, as the task may have been passed on to it since.
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
