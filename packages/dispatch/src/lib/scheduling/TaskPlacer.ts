import { Mechanism } from '@cherryhitch/model'
import type { EndpointCapacity } from '@cherryhitch/protocol'
import { DispatchActionKind, Stage } from '../DispatchAction'
import type { DispatchCore } from '../DispatchCore'
import type { Job, Task } from '../jobs/Job'
import { expectedRunMs } from '../runs/expectedRunMs'
import type { RunTracker } from '../runs/RunTracker'
import type { EndpointIndex } from './EndpointIndex'
import { FasterSlots, SpeedDecision } from './FasterSlots'
import { freeCpuMillisOf } from './freeCpuMillisOf'
import { hasRoom } from './hasRoom'
import { isUnconstrained } from './isUnconstrained'
import { headroomOf } from './headroomOf'
import type { JobQueue } from './JobQueue'
import { needsAtLeast } from './needsAtLeast'
import type { OrderedJobs } from './QueueShares'
import type { ServiceEndpoints } from './ServiceEndpoints'
import { ServiceSlots } from './ServiceSlots'
import { SlotForecast } from './SlotForecast'
import { speedNeedOf } from './SpeedNeed'

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

/** Places the waiting tasks of a service on its endpoints. @internal */
export class TaskPlacer {
  /** Reused by all rounds, so that they don't allocate. */
  readonly #placementForecast = new SlotForecast()

  constructor(
    private readonly core: DispatchCore,
    private readonly runs: RunTracker,
    private readonly endpointIndex: EndpointIndex,
  ) {}

  /** Places jobs in order, and stops once no endpoint has free CPU for the smallest waiting task. */
  place(now: number, queue: JobQueue, ordered: OrderedJobs, endpoints: ServiceEndpoints): void {
    const round: PlacementRound = {
      needs: undefined,
      fasterSlots: endpoints.isUneven ? this.#makeFasterSlots(now, queue, endpoints) : undefined,
      deferred: new Set(),
    }
    // Computed once, when a job has to leave headroom.
    let freeCpuMillis: number | undefined
    for (const job of ordered.ranked) {
      if (!hasRoom(queue, endpoints)) return
      if (job.isClosed) continue
      const headroomCpuMillis = headroomOf(job, ordered)
      if (headroomCpuMillis > 0) {
        freeCpuMillis ??= freeCpuMillisOf(endpoints)
        if (freeCpuMillis - job.waitingCpuMillis < headroomCpuMillis) continue
      }
      const placedBefore = job.placedCpuMillis
      this.#placeJob(now, job, endpoints, round)
      if (freeCpuMillis !== undefined) freeCpuMillis -= job.placedCpuMillis - placedBefore
    }
    round.fasterSlots = undefined
    for (const job of round.deferred) if (!job.isClosed) this.#placeJob(now, job, endpoints, round)
  }

  /**
   * Places those waiting tasks of a job that fit.
   *
   * @param round - updated when a task fits nowhere; tasks with at least these needs are not tried
   *   again in this round, so that a long queue costs little while capacity is exhausted
   */
  #placeJob(now: number, job: Job, endpoints: ServiceEndpoints, round: PlacementRound): void {
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
    // The forecast of faster slots knows nothing of other constraints than the needs of tasks.
    const fasterSlots = isUnconstrained(task) ? round.fasterSlots : undefined
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
    if (!this.runs.start(now, task, endpoint, expectedMs)) return Placement.NoRoom
    if (need !== undefined) this.#countSpeed(slowness)
    this.endpointIndex.refreshChanged(now)
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
    return new FasterSlots(() => slots.upcomingClasses(), this.#placementForecast)
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
