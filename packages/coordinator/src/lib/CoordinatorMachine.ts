import { exhaustive } from '@cherryhitch/model'
import type { JobAnswer } from '@cherryhitch/protocol'
import { Reason } from '@cherryhitch/protocol'
import { Machine } from '@cherryhitch/runtime'
import type { CoordinatorAction } from './CoordinatorAction'
import type { CoordinatorContext } from './CoordinatorContext'
import type { CoordinatorCounters } from './CoordinatorCounters'
import type { CoordinatorEvent } from './CoordinatorEvent'
import { CoordinatorEventKind } from './CoordinatorEvent'
import type { CoordinatorOptions } from './CoordinatorOptions'
import { createContext } from './createContext'
import { JobDesk } from './jobs/JobDesk'
import { JobEnding } from './jobs/JobEnding'
import { problem, refusedAnswer, runningAnswer } from './jobs/jobAnswers'
import { localWaiter } from './jobs/Waiter'
import { ReportDesk } from './placement/ReportDesk'
import { Retries } from './placement/Retries'
import { TaskFlight } from './placement/TaskFlight'
import { TaskPlacement } from './placement/TaskPlacement'
import type { DueItem } from './timers/DueItem'
import { DueKind } from './timers/DueItem'

type EventOf<K extends CoordinatorEventKind> = Extract<CoordinatorEvent, { kind: K }>

/** Coordinates the jobs of one instance: a thin host over the managers of its areas. @public */
export class CoordinatorMachine extends Machine<CoordinatorEvent, CoordinatorAction> {
  private readonly context: CoordinatorContext
  private readonly ending: JobEnding
  private readonly desk: JobDesk
  private readonly retries: Retries
  private readonly reports: ReportDesk
  private saidDrained = false

  constructor(options: CoordinatorOptions) {
    super()
    this.context = createContext(options)
    const flight = new TaskFlight(this.context)
    const placement = new TaskPlacement(this.context, flight)
    this.ending = new JobEnding(this.context, flight)
    this.desk = new JobDesk(this.context, placement, this.ending)
    this.retries = new Retries(this.context, placement, this.ending)
    this.reports = new ReportDesk(this.context, flight, this.retries, this.ending)
  }

  get counters(): Readonly<CoordinatorCounters> {
    return this.context.counters
  }

  get jobsInFlight(): number {
    return this.context.jobs.size
  }

  /** Jobs in flight for operators, oldest first; bounded by `limits.listedJobs`. */
  jobs(): readonly JobAnswer[] {
    const listed: JobAnswer[] = []
    for (const job of this.context.jobs.all()) {
      if (listed.length >= this.context.limits.listedJobs) break
      listed.push(runningAnswer(job, this.context.policies))
    }
    return listed
  }

  override step(now: number, event: CoordinatorEvent): readonly CoordinatorAction[] {
    this.handle(now, event)
    return this.finish(now)
  }

  override tick(now: number): readonly CoordinatorAction[] {
    for (const item of this.context.due.takeDue(now)) this.handleDue(now, item)
    return this.finish(now)
  }

  private finish(now: number): readonly CoordinatorAction[] {
    if (this.desk.draining && !this.saidDrained && this.context.jobs.size === 0) {
      this.saidDrained = true
      this.context.outbox.drained()
    }
    return this.context.outbox.take(now)
  }

  private handle(now: number, event: CoordinatorEvent): void {
    switch (event.kind) {
      case CoordinatorEventKind.Submit:
        this.submit(now, event)
        return
      case CoordinatorEventKind.Message:
        if (event.message.case === 'taskReports') {
          this.reports.take(now, event.from, event.message.value)
        }
        return
      case CoordinatorEventKind.Members:
        this.context.members.update(event.members)
        return
      case CoordinatorEventKind.Preset:
        this.context.policies.apply(event.preset, event.version, event.current)
        return
      case CoordinatorEventKind.Drain:
        this.desk.draining = true
        return
      case CoordinatorEventKind.Query:
      case CoordinatorEventKind.CallerGone:
      case CoordinatorEventKind.ClaimAnswered:
        return
      default:
        exhaustive(event)
    }
  }

  private submit(now: number, event: EventOf<CoordinatorEventKind.Submit>): void {
    const { counters, outbox, policies } = this.context
    counters.submitted++
    const job = this.desk.open(now, event.job, event.respondAsync, '')
    const waiter = localWaiter(event.requestId)
    const why = this.desk.refusal(now, job)
    if (why !== undefined) {
      counters.refused++
      outbox.reply(waiter, refusedAnswer(job.id, job.tasks.length, why, policies))
      return
    }
    this.desk.enter(now, job)
    if (!event.respondAsync) job.waiters.push(waiter)
    if (!this.desk.start(now, job)) return
    if (event.respondAsync) outbox.reply(waiter, runningAnswer(job, policies))
  }

  private handleDue(now: number, item: DueItem): void {
    switch (item.kind) {
      case DueKind.Deadline: {
        const job = this.context.jobs.get(item.sequence)
        const why = problem(Reason.DEADLINE_PASSED, 'The deadline passed.')
        if (job !== undefined) this.ending.fail(now, job, why)
        return
      }
      case DueKind.Retry: {
        const job = this.context.jobs.get(item.sequence)
        if (job !== undefined) this.retries.placeAgain(now, job, item.indexes)
        return
      }
      case DueKind.AskAfterLate:
      case DueKind.OwnerGone:
      case DueKind.ForwardLate:
        return
      default:
        exhaustive(item)
    }
  }
}
