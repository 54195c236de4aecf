import { Mechanism } from '@cherryhitch/model'
import type { UnlistedTaskDetector } from '../crashes/UnlistedTaskDetector'
import type { DispatchCore } from '../DispatchCore'
import type { Job } from '../jobs/Job'
import type { JobRegistry } from '../jobs/JobRegistry'
import type { RunTracker } from '../runs/RunTracker'
import { EndpointIndex } from './EndpointIndex'
import { freeCpuMillisOf } from './freeCpuMillisOf'
import { hasRoom } from './hasRoom'
import type { JobAdmission, RefusedJob } from './JobAdmission'
import type { QueuePolicy } from './QueuePolicy'
import { areAllRunsKnown } from './areAllRunsKnown'
import type { JobQueue } from './JobQueue'
import { PrioritizedServices } from './PrioritizedServices'
import { NoShares } from './QueueShares'
import type { OrderedJobs, QueueShares } from './QueueShares'
import type { ServiceEndpoints } from './ServiceEndpoints'
import { ServiceSlots } from './ServiceSlots'
import { TaskPlacer } from './TaskPlacer'
import { WaitingJobs } from './WaitingJobs'

/** Collaborators of the scheduler. @internal */
export interface SchedulerDependencies {
  readonly jobs: JobRegistry
  readonly runs: RunTracker
  readonly queuePolicy: QueuePolicy
  readonly admission: JobAdmission
  /** Divides the slots of services whose queues have different priorities. */
  readonly shares: QueueShares
  readonly unlisted: UnlistedTaskDetector
  /** Ends a refused job and reports it as not run. */
  readonly refuse: (now: number, refused: RefusedJob) => void
}

/** What holds for all services in a scheduling round. */
interface RoundState {
  /** Whether all runs of earlier leaders are known, so that it can be told which jobs are new. */
  readonly areRunsKnown: boolean
  /** Whether jobs that an earlier leader may have started can be placed. */
  readonly mayResume: boolean
  readonly isReviewDue: boolean
}

/** The jobs and endpoints of one service in a scheduling round. */
interface AdmissionRound {
  readonly queue: JobQueue
  readonly ordered: OrderedJobs
  /** Those of the ordered jobs that admission has not decided on. */
  readonly undecided: readonly Job[]
  readonly endpoints: ServiceEndpoints
  /** Whether admitted jobs are examined again. */
  readonly isReview: boolean
}

/**
 * Interval at which admitted jobs are reviewed when there are no new ones, in milliseconds. Slots
 * may have been lost in the meantime, and a caller that is refused early can still go to another
 * service.
 */
const REVIEW_INTERVAL_MS = 10

const NO_SHARES = new NoShares()

/**
 * Runs the scheduling rounds: orders waiting jobs, applies the admission policy to them, and has
 * their tasks placed.
 *
 * @internal
 */
export class Scheduler {
  readonly #endpoints: EndpointIndex
  readonly #waiting: WaitingJobs
  readonly #prioritized = new PrioritizedServices()
  readonly #placer: TaskPlacer
  #isDue = false
  #reviewDueAt = -Infinity

  constructor(
    private readonly core: DispatchCore,
    private readonly dependencies: SchedulerDependencies,
  ) {
    this.#endpoints = new EndpointIndex(core)
    const { jobs, queuePolicy, shares } = dependencies
    this.#waiting = new WaitingJobs(core, jobs, queuePolicy, shares.needsUsage)
    this.#placer = new TaskPlacer(core, dependencies.runs, this.#endpoints)
  }

  /** Requests a scheduling round, after a change that may allow a task to start. */
  wake(): void {
    this.#isDue = true
  }

  /**
   * Applies pending changes, so that removed endpoints and jobs are released while no job waits.
   */
  refresh(now: number): void {
    this.#endpoints.refresh(now)
    this.#waiting.refresh(now)
  }

  /** Runs a scheduling round if one was requested. */
  run(now: number): void {
    if (!this.#isDue || this.core.term === undefined) return
    this.#isDue = false
    if (this.dependencies.jobs.waiting.size === 0) return
    this.refresh(now)
    const areRunsKnown = areAllRunsKnown(now, this.core)
    const mayResume = this.dependencies.unlisted.isDone && areRunsKnown
    const isReviewDue = now >= this.#reviewDueAt
    if (isReviewDue) this.#reviewDueAt = now + REVIEW_INTERVAL_MS
    this.core.counters.rounds++
    for (const [service, queue] of this.#waiting.entries()) {
      this.#runService(now, service, queue, { areRunsKnown, mayResume, isReviewDue })
    }
  }

  #runService(now: number, service: string, queue: JobQueue, state: RoundState): void {
    const candidates = this.#candidates(queue, state)
    if (candidates.length === 0) return
    const { isReviewDue } = state
    const endpoints = this.#endpoints.forService(service)
    const undecided = this.#undecided(queue, state)
    const isAdmissionDue = isReviewDue || undecided.length > 0
    if (!isAdmissionDue && !hasRoom(queue, endpoints)) return
    const isPrioritized =
      this.dependencies.shares.needsUsage && this.#prioritized.has(this.core.table, service)
    if (isPrioritized && isReviewDue) {
      queue.usage.setFreeCpuMillis(freeCpuMillisOf(endpoints))
    }
    const order = (jobs: readonly Job[]): OrderedJobs => {
      return isPrioritized ? this.#order(now, queue, jobs) : NO_SHARES.order({ ranked: jobs })
    }
    const ordered = order(candidates)
    const round = { queue, ordered, undecided, endpoints, isReview: isReviewDue }
    const hasChanged = isAdmissionDue && this.#admit(now, round)
    if (hasChanged) this.#waiting.refresh(now)
    const next = hasChanged ? order(this.#candidates(queue, state)) : ordered
    this.#placer.place(now, queue, next, endpoints)
  }

  /** Orders jobs by the shares of their queues. */
  #order(now: number, { usage }: JobQueue, ranked: readonly Job[]): OrderedJobs {
    const { capacityCpuMillis } = usage
    if (capacityCpuMillis === undefined) return NO_SHARES.order({ ranked })
    const queues = usage.queues(now)
    return this.dependencies.shares.order({ ranked, queues, capacityCpuMillis })
  }

  /** The jobs of a queue that may be placed, by rank. */
  #candidates(queue: JobQueue, { areRunsKnown, mayResume }: RoundState): readonly Job[] {
    return mayResume ? queue.ranked : this.#startable(queue, areRunsKnown)
  }

  /**
   * Jobs that may be placed before jobs of earlier leaders are resumed: no earlier leader can be
   * running them.
   */
  #startable(queue: JobQueue, areRunsKnown: boolean): readonly Job[] {
    if (!this.core.isEnabled(Mechanism.StartBeforeRecovery)) return []
    return queue.ranked.filter(({ isResumed, hasUnknownOrigin }) => {
      return !isResumed && (areRunsKnown || !hasUnknownOrigin)
    })
  }

  /** Admission decides on a job only once the job can be placed. */
  #undecided(queue: JobQueue, { areRunsKnown }: RoundState): readonly Job[] {
    const undecided = [...queue.undecided]
    if (areRunsKnown) return undecided
    return undecided.filter(({ hasUnknownOrigin }) => !hasUnknownOrigin)
  }

  /**
   * Applies the admission policy to the queue: marks jobs as admitted or late, and refuses others.
   *
   * @returns whether ranks have changed
   */
  #admit(now: number, round: AdmissionRound): boolean {
    const { queue, ordered, undecided, endpoints, isReview } = round
    const slots = new ServiceSlots(now, endpoints, queue.meanNeeds)
    const { ranked, beyondShare, shares } = ordered
    const slotCpuMillis = Math.max(1, queue.meanNeeds.cpuMillis)
    const headroomSlots = (job: Job): number => {
      return Math.round((shares.get(job.route.name)?.headroomCpuMillis ?? 0) / slotCpuMillis)
    }
    const { waitingTasks } = queue
    const input = { ranked, undecided, waitingTasks, slots, beyondShare, headroomSlots, isReview }
    const { admitted, late, refused, slotsSimulated } = this.dependencies.admission.decide(
      now,
      input,
    )
    queue.noteDecided(undecided)
    this.core.counters.places_forecast += slotsSimulated
    for (const job of admitted) job.isAdmitted = true
    for (const job of late) this.#serveLate(now, job, ordered)
    for (const one of refused) {
      this.core.log('job refused: it would not get a slot in time', {
        job: one.job.id,
        lateByMs: Math.round(one.lateByMs),
        tasks: one.job.tasks.length,
        waitingJobs: ranked.length,
        places: slots.size,
        freePlaces: slots.countFree(Infinity),
        wasLate: one.job.lateSince !== undefined,
        ...shareFields(one.job, ordered),
      })
      this.dependencies.refuse(now, one)
    }
    return late.length > 0
  }

  /** Leaves a job to slots that no job can use in time. */
  #serveLate(now: number, job: Job, ordered: OrderedJobs): void {
    if (job.isAdmitted) this.core.counters.late_fallen_behind++
    else this.core.counters.late_admitted++
    this.core.log('job is served late: it would not get a slot in time', {
      job: job.id,
      waitedMs: Math.round(now - job.arrivedAt),
      tasks: job.waiting.length,
      wasAdmitted: job.isAdmitted,
      ...shareFields(job, ordered),
    })
    job.isAdmitted = true
    job.serveLate(now)
  }
}

/** Share and use of a job's queue, for the log; nothing without contention of queues. */
function shareFields(
  { route }: Job,
  { shares }: OrderedJobs,
): Readonly<Record<string, string | number>> {
  const share = shares.get(route.name)
  if (share === undefined) return { queue: route.name }
  return {
    queue: route.name,
    priority: route.priority,
    queueShareCpuMillis: Math.round(share.shareCpuMillis),
    queueUsedCpuMillis: share.usedCpuMillis,
  }
}
