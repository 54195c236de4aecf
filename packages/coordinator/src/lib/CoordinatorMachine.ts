import { exhaustive } from '@cherryhitch/model'
import type { JobAnswer } from '@cherryhitch/protocol'
import { Reason } from '@cherryhitch/protocol'
import { StateMachine } from '@cherryhitch/runtime'
import { AnswerRecorder } from './answers/AnswerRecorder'
import type { CoordinatorAction } from './CoordinatorAction'
import type { CoordinatorContext } from './CoordinatorContext'
import type { CoordinatorCounters } from './CoordinatorCounters'
import type { CoordinatorEvent, CoordinatorMessage } from './CoordinatorEvent'
import { CoordinatorEventKind } from './CoordinatorEvent'
import type { CoordinatorOptions } from './CoordinatorOptions'
import { createContext } from './createContext'
import { RequestForwarder } from './forwarding/RequestForwarder'
import { QueryHandler } from './forwarding/QueryHandler'
import type { Job } from './jobs/Job'
import { SubmissionHandler } from './jobs/SubmissionHandler'
import type { SubmitRequest } from './jobs/SubmissionHandler'
import { JobEnding } from './jobs/JobEnding'
import { problem, runningAnswer } from './jobs/jobAnswers'
import { localWaiter, remoteWaiter } from './jobs/Waiter'
import { ClaimHandler } from './keys/ClaimHandler'
import { KeyedJobHandler } from './keys/KeyedJobHandler'
import { MemberChangeKind } from './members/MemberChange'
import { OwnerLossHandler } from './placement/OwnerLossHandler'
import { ReportHandler } from './placement/ReportHandler'
import { RetryScheduler } from './placement/RetryScheduler'
import { TaskTracker } from './placement/TaskTracker'
import { TaskPlacer } from './placement/TaskPlacer'
import type { CoordinatorTimer } from './timers/CoordinatorTimer'
import { TimerKind } from './timers/CoordinatorTimer'

type EventOf<K extends CoordinatorEventKind> = Extract<CoordinatorEvent, { kind: K }>

const deadlinePassed = problem(Reason.DEADLINE_PASSED, 'The deadline passed.')
const callerGone = problem(Reason.CANCELLED, 'The caller closed its connection.')

/**
 * State machine that coordinates the jobs of one instance. Passes each event and timer to the
 * component that handles it.
 *
 * @public
 */
export class CoordinatorMachine extends StateMachine<CoordinatorEvent, CoordinatorAction> {
  private readonly context: CoordinatorContext
  private readonly ending: JobEnding
  private readonly submissions: SubmissionHandler
  private readonly keyedJobs: KeyedJobHandler
  private readonly claims: ClaimHandler
  private readonly queries: QueryHandler
  private readonly forwarder: RequestForwarder
  private readonly retries: RetryScheduler
  private readonly reports: ReportHandler
  private readonly ownerLosses: OwnerLossHandler
  private readonly answerRecorder: AnswerRecorder
  private reportedDrained = false

  constructor(options: CoordinatorOptions) {
    super()
    this.context = createContext(options)
    const tracker = new TaskTracker(this.context)
    const placer = new TaskPlacer(this.context, tracker)
    const ending = new JobEnding(this.context, tracker)
    this.ending = ending
    this.submissions = new SubmissionHandler(this.context, placer, ending)
    this.retries = new RetryScheduler(this.context, placer, ending)
    this.reports = new ReportHandler(this.context, tracker, this.retries, ending)
    this.ownerLosses = new OwnerLossHandler(
      this.context,
      tracker,
      this.reports,
      this.retries,
      ending,
    )
    this.forwarder = new RequestForwarder(this.context)
    this.claims = new ClaimHandler(this.context, this.submissions, ending, this.forwarder)
    this.keyedJobs = new KeyedJobHandler(
      this.context,
      this.submissions,
      this.claims,
      this.forwarder,
    )
    this.answerRecorder = new AnswerRecorder(this.context)
    const { answerRecorder } = this
    this.queries = new QueryHandler(
      this.context,
      ending,
      this.claims,
      this.forwarder,
      answerRecorder,
    )
    ending.listen((now, job, answer, phaseBefore) => {
      answerRecorder.onJobEnded(now, job, answer, phaseBefore)
    })
  }

  get counters(): Readonly<CoordinatorCounters> {
    return this.context.counters
  }

  get jobsInFlight(): number {
    return this.context.jobs.size
  }

  /** The jobs in flight, as listed for operators: oldest first, at most `limits.listedJobs`. */
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
    for (const timer of this.context.timers.takeDue(now)) this.handleTimer(now, timer)
    this.context.answers.expire(now)
    this.answerRecorder.expire(now)
    return this.takeActions(now)
  }

  private takeActions(now: number): readonly CoordinatorAction[] {
    const isBusy =
      this.context.jobs.size + this.forwarder.size + this.answerRecorder.unreadCount > 0
    const hasDrained = this.submissions.draining && !this.reportedDrained && !isBusy
    if (hasDrained) {
      this.reportedDrained = true
      this.context.outbox.drained()
    }
    return this.context.outbox.takeActions(now, hasDrained)
  }

  private handleEvent(now: number, event: CoordinatorEvent): void {
    switch (event.kind) {
      case CoordinatorEventKind.Submit:
        this.submit(now, event)
        return
      case CoordinatorEventKind.Query: {
        const waiter = localWaiter(event.requestId, false)
        this.queries.handleLocal(now, { ...event, waiter })
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
        this.submissions.draining = true
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
    if (request.spec.submissionKey === '') this.submissions.submit(now, request)
    else this.keyedJobs.submit(now, request)
  }

  private handleMessage(now: number, from: string, message: CoordinatorMessage): void {
    switch (message.case) {
      case 'taskReports':
        this.reports.handle(now, from, message.value)
        return
      case 'fenceReports':
        this.ownerLosses.handleFenceReports(now, from, message.value)
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
        this.queries.handleForwarded(now, { jobId, caller, cancel, wait, waiter })
        return
      }
      case 'jobReply':
        this.forwarder.handleReply(now, from, message.value)
        return
      default:
        exhaustive(message)
    }
  }

  private updateMembers(now: number, event: EventOf<CoordinatorEventKind.Members>): void {
    const changes = this.context.members.update(now, event.members)
    for (const change of changes) {
      this.ownerLosses.handleMemberChange(now, change)
      if (change.kind !== MemberChangeKind.Restarted) continue
      this.forwarder.handleRestart(now, change.instance, change.boot)
    }
    this.ownerLosses.confirmFences(now)
  }

  /**
   * Detaches a caller that disconnected. Its job is cancelled if no other request waits for it and
   * its answer can't be fetched later, because it has no key and was not submitted asynchronously.
   */
  private handleCallerGone(now: number, requestId: string): void {
    const request = this.context.requests.close(requestId)
    if (request === undefined) return
    this.context.counters.callersGone++
    if (request.forwardId !== undefined) {
      this.forwarder.drop(request.forwardId)
      return
    }
    const job = this.context.jobs.get(request.sequence)
    if (job === undefined) return
    this.context.replies.detach(job, requestId)
    if (job.waiters.length > 0 || job.isKeyed || job.respondAsync) return
    this.ending.cancel(now, job, callerGone)
  }

  private handleTimer(now: number, timer: CoordinatorTimer): void {
    switch (timer.kind) {
      case TimerKind.Deadline:
        this.withJob(timer.sequence, (job) => {
          this.ending.fail(now, job, deadlinePassed)
        })
        return
      case TimerKind.QueryLateTasks:
        this.withJob(timer.sequence, (job) => {
          this.ownerLosses.queryLateTasks(now, job)
        })
        return
      case TimerKind.Retry:
        this.withJob(timer.sequence, (job) => {
          this.retries.placeAgain(now, job, timer.indexes, timer.giveUpAt)
        })
        return
      case TimerKind.OwnerLeasesExpired:
        this.ownerLosses.handleLeasesExpired(now, timer.owner, timer.boot)
        return
      case TimerKind.ForwardTimeout:
        this.forwarder.checkTimeout(now, timer.forwardId)
        return
      default:
        exhaustive(timer)
    }
  }

  private withJob(sequence: number, action: (job: Job) => void): void {
    const job = this.context.jobs.get(sequence)
    if (job !== undefined) action(job)
  }
}
