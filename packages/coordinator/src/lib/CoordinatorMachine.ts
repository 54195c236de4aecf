import { exhaustive } from '@cherryhitch/model'
import type { JobAnswer } from '@cherryhitch/protocol'
import { Reason } from '@cherryhitch/protocol'
import { Machine } from '@cherryhitch/runtime'
import { AnswerKeeper } from './answers/AnswerKeeper'
import type { CoordinatorAction } from './CoordinatorAction'
import type { CoordinatorContext } from './CoordinatorContext'
import type { CoordinatorCounters } from './CoordinatorCounters'
import type { CoordinatorEvent, CoordinatorMessage } from './CoordinatorEvent'
import { CoordinatorEventKind } from './CoordinatorEvent'
import type { CoordinatorOptions } from './CoordinatorOptions'
import { createContext } from './createContext'
import { Forwarding } from './forwarding/Forwarding'
import { QueryDesk } from './forwarding/QueryDesk'
import type { Job } from './jobs/Job'
import { JobDesk } from './jobs/JobDesk'
import type { SubmitRequest } from './jobs/JobDesk'
import { JobEnding } from './jobs/JobEnding'
import { problem, runningAnswer } from './jobs/jobAnswers'
import { localWaiter, remoteWaiter } from './jobs/Waiter'
import { ClaimDesk } from './keys/ClaimDesk'
import { KeyDesk } from './keys/KeyDesk'
import { MemberChangeKind } from './members/MemberChange'
import { LossWatch } from './placement/LossWatch'
import { ReportDesk } from './placement/ReportDesk'
import { Retries } from './placement/Retries'
import { TaskFlight } from './placement/TaskFlight'
import { TaskPlacement } from './placement/TaskPlacement'
import type { DueItem } from './timers/DueItem'
import { DueKind } from './timers/DueItem'

type EventOf<K extends CoordinatorEventKind> = Extract<CoordinatorEvent, { kind: K }>

const deadlinePassed = problem(Reason.DEADLINE_PASSED, 'The deadline passed.')
const callerGone = problem(Reason.CANCELLED, 'The caller closed its connection.')

/** Coordinates the jobs of one instance: a thin host over the managers of its areas. @public */
export class CoordinatorMachine extends Machine<CoordinatorEvent, CoordinatorAction> {
  private readonly context: CoordinatorContext
  private readonly ending: JobEnding
  private readonly desk: JobDesk
  private readonly keyed: KeyDesk
  private readonly claims: ClaimDesk
  private readonly queries: QueryDesk
  private readonly forwarding: Forwarding
  private readonly retries: Retries
  private readonly reports: ReportDesk
  private readonly losses: LossWatch
  private readonly keeper: AnswerKeeper
  private saidDrained = false

  constructor(options: CoordinatorOptions) {
    super()
    this.context = createContext(options)
    const flight = new TaskFlight(this.context)
    const placement = new TaskPlacement(this.context, flight)
    const ending = new JobEnding(this.context, flight)
    this.ending = ending
    this.desk = new JobDesk(this.context, placement, ending)
    this.retries = new Retries(this.context, placement, ending)
    this.reports = new ReportDesk(this.context, flight, this.retries, ending)
    this.losses = new LossWatch(this.context, flight, this.reports, this.retries, ending)
    this.forwarding = new Forwarding(this.context)
    this.claims = new ClaimDesk(this.context, this.desk, ending, this.forwarding)
    this.keyed = new KeyDesk(this.context, this.desk, this.claims, this.forwarding)
    this.keeper = new AnswerKeeper(this.context)
    const { keeper } = this
    this.queries = new QueryDesk(this.context, ending, this.claims, this.forwarding, keeper)
    ending.listen((now, job, answer, before) => {
      keeper.jobEnded(now, job, answer, before)
    })
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
    this.context.answers.expire(now)
    this.keeper.expire(now)
    return this.finish(now)
  }

  private finish(now: number): readonly CoordinatorAction[] {
    const isBusy = this.context.jobs.size + this.forwarding.size + this.keeper.unread > 0
    const isLast = this.desk.draining && !this.saidDrained && !isBusy
    if (isLast) {
      this.saidDrained = true
      this.context.outbox.drained()
    }
    return this.context.outbox.take(now, isLast)
  }

  private handle(now: number, event: CoordinatorEvent): void {
    switch (event.kind) {
      case CoordinatorEventKind.Submit:
        this.submit(now, event)
        return
      case CoordinatorEventKind.Query: {
        const waiter = localWaiter(event.requestId, false)
        this.queries.ask(now, { ...event, waiter })
        return
      }
      case CoordinatorEventKind.CallerGone:
        this.dropCaller(now, event.requestId)
        return
      case CoordinatorEventKind.Message:
        this.takeMessage(now, event.from, event.message)
        return
      case CoordinatorEventKind.ClaimAnswered:
        this.claims.takeAnswer(now, event.jobId, event.answer, event.mayBeClaimed)
        return
      case CoordinatorEventKind.Members:
        this.takeMembers(now, event)
        return
      case CoordinatorEventKind.Preset:
        this.context.policies.apply(event.preset, event.version, event.current)
        return
      case CoordinatorEventKind.Drain:
        this.desk.draining = true
        return
      default:
        exhaustive(event)
    }
  }

  private submit(now: number, event: EventOf<CoordinatorEventKind.Submit>): void {
    const { job: spec, respondAsync } = event
    const waiter = localWaiter(event.requestId, respondAsync)
    this.take(now, { spec, respondAsync, waiter, isForwarded: false })
  }

  private take(now: number, request: SubmitRequest): void {
    this.context.counters.submitted++
    if (request.spec.submissionKey === '') this.desk.submit(now, request)
    else this.keyed.submit(now, request)
  }

  private takeMessage(now: number, from: string, message: CoordinatorMessage): void {
    switch (message.case) {
      case 'taskReports':
        this.reports.take(now, from, message.value)
        return
      case 'fenceReports':
        this.losses.takeFenceReports(now, from, message.value)
        return
      case 'forwardJob': {
        const { job: spec, requestId, respondAsync } = message.value
        if (spec === undefined) return
        const waiter = remoteWaiter(from, requestId, respondAsync)
        this.take(now, { spec, respondAsync, waiter, isForwarded: true })
        return
      }
      case 'jobQuery': {
        const { jobId, caller, cancel, wait, requestId } = message.value
        const waiter = remoteWaiter(from, requestId, false)
        this.queries.answer(now, { jobId, caller, cancel, wait, waiter })
        return
      }
      case 'jobReply':
        this.forwarding.takeReply(now, from, message.value)
        return
      default:
        exhaustive(message)
    }
  }

  private takeMembers(now: number, event: EventOf<CoordinatorEventKind.Members>): void {
    const changes = this.context.members.update(now, event.members)
    for (const change of changes) {
      this.losses.takeChange(now, change)
      if (change.kind !== MemberChangeKind.Restarted) continue
      this.forwarding.targetRestarted(now, change.instance, change.boot)
    }
    this.losses.confirmFences(now)
  }

  /** Nobody waits for the answer of a job that can't be asked for later: it is given up. */
  private dropCaller(now: number, requestId: string): void {
    const request = this.context.requests.close(requestId)
    if (request === undefined) return
    this.context.counters.callersGone++
    if (request.forwardId !== undefined) {
      this.forwarding.forget(request.forwardId)
      return
    }
    const job = this.context.jobs.get(request.sequence)
    if (job === undefined) return
    this.context.replies.detach(job, requestId)
    if (job.waiters.length > 0 || job.isKeyed || job.respondAsync) return
    this.ending.cancel(now, job, callerGone)
  }

  private handleDue(now: number, item: DueItem): void {
    switch (item.kind) {
      case DueKind.Deadline:
        this.withJob(item.sequence, (job) => {
          this.ending.fail(now, job, deadlinePassed)
        })
        return
      case DueKind.AskAfterLate:
        this.withJob(item.sequence, (job) => {
          this.losses.askAfterLate(now, job)
        })
        return
      case DueKind.Retry:
        this.withJob(item.sequence, (job) => {
          this.retries.placeAgain(now, job, item.indexes, item.giveUpAt)
        })
        return
      case DueKind.OwnerGone:
        this.losses.ownerGone(now, item.owner, item.boot)
        return
      case DueKind.ForwardLate:
        this.forwarding.checkLate(now, item.forwardId)
        return
      default:
        exhaustive(item)
    }
  }

  private withJob(sequence: number, act: (job: Job) => void): void {
    const job = this.context.jobs.get(sequence)
    if (job !== undefined) act(job)
  }
}
