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
import { KeyedJobHandler } from './keys/KeyedJobHandler'
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
  private readonly completion: JobEnding
  private readonly jobIntake: JobDesk
  private readonly keyedJobs: KeyedJobHandler
  private readonly claims: ClaimDesk
  private readonly queries: QueryDesk
  private readonly forwarding: Forwarding
  private readonly retries: Retries
  private readonly reports: ReportDesk
  private readonly lossDetector: LossWatch
  private readonly answerRecorder: AnswerKeeper
  private reportedDrained = false

  constructor(options: CoordinatorOptions) {
    super()
    this.context = createContext(options)
    const flight = new TaskFlight(this.context)
    const placement = new TaskPlacement(this.context, flight)
    const ending = new JobEnding(this.context, flight)
    this.completion = ending
    this.jobIntake = new JobDesk(this.context, placement, ending)
    this.retries = new Retries(this.context, placement, ending)
    this.reports = new ReportDesk(this.context, flight, this.retries, ending)
    this.lossDetector = new LossWatch(this.context, flight, this.reports, this.retries, ending)
    this.forwarding = new Forwarding(this.context)
    this.claims = new ClaimDesk(this.context, this.jobIntake, ending, this.forwarding)
    this.keyedJobs = new KeyedJobHandler(this.context, this.jobIntake, this.claims, this.forwarding)
    this.answerRecorder = new AnswerKeeper(this.context)
    const { answerRecorder: keeper } = this
    this.queries = new QueryDesk(this.context, ending, this.claims, this.forwarding, keeper)
    ending.listen((now, job, answer, before) => {
      keeper.onJobEnded(now, job, answer, before)
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
    this.handleEvent(now, event)
    return this.takeActions(now)
  }

  override tick(now: number): readonly CoordinatorAction[] {
    for (const item of this.context.due.takeDue(now)) this.handleTimer(now, item)
    this.context.answers.expire(now)
    this.answerRecorder.expire(now)
    return this.takeActions(now)
  }

  private takeActions(now: number): readonly CoordinatorAction[] {
    const isBusy = this.context.jobs.size + this.forwarding.size + this.answerRecorder.unreadCount > 0
    const isLast = this.jobIntake.draining && !this.reportedDrained && !isBusy
    if (isLast) {
      this.reportedDrained = true
      this.context.outbox.drained()
    }
    return this.context.outbox.takeActions(now, isLast)
  }

  private handleEvent(now: number, event: CoordinatorEvent): void {
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
        this.handleCallerGone(now, event.requestId)
        return
      case CoordinatorEventKind.Message:
        this.handleMessage(now, event.from, event.message)
        return
      case CoordinatorEventKind.ClaimAnswered:
        this.claims.handleClaimAnswer(now, event.jobId, event.answer, event.mayBeClaimed)
        return
      case CoordinatorEventKind.Members:
        this.updateMembers(now, event)
        return
      case CoordinatorEventKind.Preset:
        this.context.policies.apply(event.preset, event.version, event.current)
        return
      case CoordinatorEventKind.Drain:
        this.jobIntake.draining = true
        return
      default:
        exhaustive(event)
    }
  }

  private submit(now: number, event: EventOf<CoordinatorEventKind.Submit>): void {
    const { job: spec, respondAsync } = event
    const waiter = localWaiter(event.requestId, respondAsync)
    this.submitJob(now, { spec, respondAsync, waiter, isForwarded: false })
  }

  private submitJob(now: number, request: SubmitRequest): void {
    this.context.counters.submitted++
    if (request.spec.submissionKey === '') this.jobIntake.submit(now, request)
    else this.keyedJobs.submit(now, request)
  }

  private handleMessage(now: number, from: string, message: CoordinatorMessage): void {
    switch (message.case) {
      case 'taskReports':
        this.reports.take(now, from, message.value)
        return
      case 'fenceReports':
        this.lossDetector.takeFenceReports(now, from, message.value)
        return
      case 'forwardJob': {
        const { job: spec, requestId, respondAsync } = message.value
        if (spec === undefined) return
        const waiter = remoteWaiter(from, requestId, respondAsync)
        this.submitJob(now, { spec, respondAsync, waiter, isForwarded: true })
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

  private updateMembers(now: number, event: EventOf<CoordinatorEventKind.Members>): void {
    const changes = this.context.members.update(now, event.members)
    for (const change of changes) {
      this.lossDetector.takeChange(now, change)
      if (change.kind !== MemberChangeKind.Restarted) continue
      this.forwarding.targetRestarted(now, change.instance, change.boot)
    }
    this.lossDetector.confirmFences(now)
  }

  /** Nobody waits for the answer of a job that can't be asked for later: it is given up. */
  private handleCallerGone(now: number, requestId: string): void {
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
    this.completion.cancel(now, job, callerGone)
  }

  private handleTimer(now: number, item: DueItem): void {
    switch (item.kind) {
      case DueKind.Deadline:
        this.withJob(item.sequence, (job) => {
          this.completion.fail(now, job, deadlinePassed)
        })
        return
      case DueKind.AskAfterLate:
        this.withJob(item.sequence, (job) => {
          this.lossDetector.askAfterLate(now, job)
        })
        return
      case DueKind.Retry:
        this.withJob(item.sequence, (job) => {
          this.retries.placeAgain(now, job, item.indexes, item.giveUpAt)
        })
        return
      case DueKind.OwnerGone:
        this.lossDetector.ownerGone(now, item.owner, item.boot)
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
