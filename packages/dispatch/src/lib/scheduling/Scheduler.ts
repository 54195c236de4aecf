import { Mechanism } from '@cherryhitch/model'
import type { EndpointCapacity } from '@cherryhitch/protocol'
import { DispatchActionKind, Stage } from '../DispatchAction'
import type { UnlistedTaskDetector } from '../crashes/UnlistedTaskDetector'
import type { DispatchCore } from '../DispatchCore'
import type { Job, Task } from '../jobs/Job'
import type { JobRegistry } from '../jobs/JobRegistry'
import { expectedRunMs } from '../runs/expectedRunMs'
import type { RunTracker } from '../runs/RunTracker'
import { EndpointIndex } from './EndpointIndex'
import { FasterSlots, SpeedDecision } from './FasterSlots'
import type { JobAdmission, RefusedJob } from './JobAdmission'
import type { QueuePolicy } from './QueuePolicy'
import { areAllRunsKnown } from './areAllRunsKnown'
import type { JobQueue } from './JobQueue'
import { needsAtLeast } from './needsAtLeast'
import type { ServiceEndpoints } from './ServiceEndpoints'
import { ServiceSlots } from './ServiceSlots'
import { SlotForecast } from './SlotForecast'
import { speedNeedOf } from './SpeedNeed'
import { WaitingJobs } from './WaitingJobs'

/** Collaborators of the scheduler. @internal */
export interface SchedulerDependencies {
  readonly jobs: JobRegistry
  readonly runs: RunTracker
  readonly queuePolicy: QueuePolicy
  readonly admission: JobAdmission
  readonly unlisted: UnlistedTaskDetector
  /** Ends a refused job and reports it as not run. */
  readonly refuse: (now: number, refused: RefusedJob) => void
}

/** What a round has found out about the endpoints of a service. */
interface PlacementRound {
  /** Resource needs of the smallest task that fitted on no endpoint in this round. */
  needs: EndpointCapacity | undefined
  /** Set where endpoints differ much in speed, until all tasks that can be in time are placed. */
  fasterSlots: FasterSlots | undefined
  /** Jobs with tasks that end late, and get what is left. */
  readonly deferred: Set<Job>
}

/** What became of a waiting task in a round. */
enum Placement {
  Placed = 'placed',
  /** It fits on no endpoint. */
  NoRoom = 'no_room',
  /** It fits, but waits for a faster endpoint, or until others have been placed. */
  Postponed = 'postponed',
}

/**
 * Interval at which admitted jobs are reviewed when there are no new ones, in milliseconds. Slots
 * may have been lost in the meantime, and a caller that is refused early can still go to another
 * service.
 */
const REVIEW_INTERVAL_MS = 10

/** Places waiting tasks on endpoints, in the order of the job queue. @internal */
export class Scheduler {
  readonly #endpoints: EndpointIndex
  readonly #waiting: WaitingJobs
  /** Reused by all rounds, so that they don't allocate. */
  readonly #placementForecast = new SlotForecast()
  #isDue = false
  #reviewDueAt = -Infinity

  constructor(
    private readonly core: DispatchCore,
    private readonly dependencies: SchedulerDependencies,
  ) {
    this.#endpoints = new EndpointIndex(core)
    this.#waiting = new WaitingJobs(core, dependencies.jobs, dependencies.queuePolicy)
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
    const mayResume = this.dependencies.unlisted.isDone && areAllRunsKnown(now, this.core)
    const isReviewDue = now >= this.#reviewDueAt
    if (isReviewDue) this.#reviewDueAt = now + REVIEW_INTERVAL_MS
    this.core.counters.rounds++
    for (const [service, queue] of this.#waiting.entries()) {
      const ranked = mayResume ? queue.ranked : this.#startable(queue)
      if (ranked.length === 0) continue
      const endpoints = this.#endpoints.forService(service)
      if (isReviewDue || queue.undecided.size > 0) this.#admit(now, queue, ranked, endpoints)
      this.#placeAll(now, queue, ranked, endpoints)
    }
  }

  /**
   * Jobs that may be placed before all runs of earlier leaders are known: no earlier leader had
   * them, so they can't be running anywhere.
   */
  #startable(queue: JobQueue): readonly Job[] {
    if (!this.core.isEnabled(Mechanism.StartBeforeRecovery)) return []
    return queue.ranked.filter(({ isResumed }) => !isResumed)
  }

  /** Stops as soon as no endpoint has free CPU for the smallest waiting task. */
  #placeAll(
    now: number,
    queue: JobQueue,
    ranked: readonly Job[],
    endpoints: ServiceEndpoints,
  ): void {
    const { available } = endpoints
    const { minCpuMillis } = queue
    const round: PlacementRound = {
      needs: undefined,
      fasterSlots: endpoints.isUneven ? this.#makeFasterSlots(now, queue, endpoints) : undefined,
      deferred: new Set(),
    }
    for (const job of ranked) {
      if (available.size === 0 || available.maxFreeCpuMillis < minCpuMillis) return
      if (!job.isClosed) this.#place(now, job, endpoints, round)
    }
    round.fasterSlots = undefined
    for (const job of round.deferred) if (!job.isClosed) this.#place(now, job, endpoints, round)
  }

  /** Applies the admission policy to the queue: marks jobs as admitted, and refuses others. */
  #admit(now: number, queue: JobQueue, ranked: readonly Job[], endpoints: ServiceEndpoints): void {
    const slots = new ServiceSlots(now, endpoints, queue.meanNeeds)
    const undecided = [...queue.undecided]
    const input = { ranked, undecided, waitingTasks: queue.waitingTasks, slots }
    const { admitted, refused, slotsSimulated } = this.dependencies.admission.decide(now, input)
    queue.clearUndecided()
    this.core.counters.places_forecast += slotsSimulated
    for (const job of admitted) job.isAdmitted = true
    for (const one of refused) {
      this.core.log('job refused: it would not get a slot in time', {
        job: one.job.id,
        lateByMs: Math.round(one.lateByMs),
        tasks: one.job.tasks.length,
        waitingJobs: ranked.length,
        places: slots.size,
        freePlaces: slots.countFree(Infinity),
      })
      this.dependencies.refuse(now, one)
    }
  }

  /**
   * Places those waiting tasks of a job that fit.
   *
   * @param round - updated when a task fits nowhere; tasks with at least these needs are not tried again in this round, so that a long queue costs little while capacity is exhausted
   */
  #place(now: number, job: Job, endpoints: ServiceEndpoints, round: PlacementRound): void {
    for (const task of job.waiting) {
      const { needs, requiredLabel, maxPerEndpoint } = job.step(task)
      if (needs === undefined) return
      if (round.needs !== undefined && needsAtLeast(needs, round.needs)) return
      const placement = this.#placeTask(now, task, needs, endpoints, round)
      if (placement !== Placement.NoRoom) continue
      if (requiredLabel === '' && maxPerEndpoint === 0) round.needs = needs
      return
    }
  }

  #placeTask(
    now: number,
    task: Task,
    needs: EndpointCapacity,
    endpoints: ServiceEndpoints,
    round: PlacementRound,
  ): Placement {
    const { job } = task
    const { fasterSlots } = round
    const need = endpoints.isUneven ? speedNeedOf(now, task) : undefined
    const unseen = need && fasterSlots?.decideUnseen(need, job.runMs(task), needs)
    if (unseen !== undefined) return this.#postpone(job, unseen, round)
    this.core.counters.endpoints_visited += endpoints.available.size
    const bestFit = this.core.isEnabled(Mechanism.BestFit)
    const picked = endpoints.available.pick(task, needs, bestFit, need)
    if (picked === undefined) return Placement.NoRoom
    const { endpoint, slowness } = picked
    const decision = need && fasterSlots?.decide(need, job.runMs(task), needs, slowness)
    if (decision !== undefined && decision !== SpeedDecision.Start) {
      return this.#postpone(job, decision, round)
    }
    const expectedMs = expectedRunMs(task, slowness)
    if (!this.dependencies.runs.start(now, task, endpoint, expectedMs)) return Placement.NoRoom
    if (need !== undefined) this.#countSpeed(slowness)
    this.#endpoints.refreshChanged(now)
    if (job.firstStartAt === undefined) this.#noteFirstStart(now, job)
    job.lastStartAt = now
    job.hasStarted = true
    job.endpointsUsed.add(endpoint.id)
    return Placement.Placed
  }

  #postpone(
    job: Job,
    decision: SpeedDecision.Wait | SpeedDecision.Defer,
    { deferred }: PlacementRound,
  ): Placement {
    if (decision === SpeedDecision.Defer) deferred.add(job)
    else this.core.counters.waits_for_faster++
    return Placement.Postponed
  }

  #makeFasterSlots(now: number, { meanNeeds }: JobQueue, endpoints: ServiceEndpoints): FasterSlots {
    const slots = new ServiceSlots(now, endpoints, meanNeeds)
    return new FasterSlots(() => slots.classes(Infinity), this.#placementForecast)
  }

  #countSpeed(slowness: number): void {
    if (slowness < 1) this.core.counters.starts_fast++
    else this.core.counters.starts_slow++
  }

  #noteFirstStart(now: number, job: Job): void {
    job.firstStartAt = now
    this.core.emit({
      kind: DispatchActionKind.Measure,
      stage: Stage.Queue,
      route: job.route.name,
      ms: now - job.arrivedAt,
    })
  }
}
