import { DeadlineFairQueue } from '../order/DeadlineFairQueue'
import type { OwnerOffer, OwnerRouter } from '../routing/OwnerRouter'
import { IndexedHeap } from '../util/IndexedHeap'
import { seededRandom } from '@cherryhitch/model'
import { drawJob, drawSize, idealMs, MEAN_RUN_MS, MEAN_TASKS } from './workload'
import type { SimulatedJob, SimulatedTask } from './workload'

/** Zones with one owner each, and instances that route by the reports of these. @internal */
export interface RoutingScenario {
  readonly slotsPerZone: number
  /** Ratio of arriving work to capacity, by zone. */
  readonly loads: readonly number[]
  readonly instancesPerZone: number
  readonly reportMs: number
  readonly crossZoneDelayMs: number
  readonly endMs: number
  readonly seed: number
}

/** @internal */
export interface RoutingOutcome {
  readonly stretches: number[]
  tasks: number
  tasksInOtherZones: number
}

interface Zone {
  readonly name: string
  readonly queue: DeadlineFairQueue<SimulatedTask>
  busy: number
  report: { freeSlots: number; queuedTasks: number; waitMs: number }
}

interface Instance {
  readonly zone: Zone
  readonly router: OwnerRouter
  readonly unreported: Map<string, number>
}

interface ScheduledEvent {
  heapKey: number
  heapIndex: number
  readonly run: (now: number) => void
}

const SAME_ZONE_DELAY_MS = 0.3

/** Simulates one run; see `routingBench.ts`. @internal */
export class RoutingSimulation {
  private readonly outcome: RoutingOutcome = { stretches: [], tasks: 0, tasksInOtherZones: 0 }
  private readonly events = new IndexedHeap<ScheduledEvent>()
  private readonly jobs = new Map<string, { job: SimulatedJob; left: number }>()
  private readonly zones: Zone[]
  private readonly instances: Instance[]

  constructor(
    private readonly scenario: RoutingScenario,
    makeRouter: () => OwnerRouter,
  ) {
    this.zones = scenario.loads.map((_, index) => ({
      name: `z${index}`,
      queue: new DeadlineFairQueue<SimulatedTask>(),
      busy: 0,
      report: { freeSlots: scenario.slotsPerZone, queuedTasks: 0, waitMs: 0 },
    }))
    this.instances = this.zones.flatMap((zone) =>
      Array.from({ length: scenario.instancesPerZone }, () => ({
        zone,
        router: makeRouter(),
        unreported: new Map<string, number>(),
      })),
    )
  }

  run(): RoutingOutcome {
    const { loads, instancesPerZone, reportMs, endMs, seed } = this.scenario
    const random = seededRandom(seed)
    loads.forEach((load, index) => {
      let number = 0
      const localInstances = this.instances.slice(
        index * instancesPerZone,
        (index + 1) * instancesPerZone,
      )
      const arrive = (now: number): void => {
        const jobId = `${index}-${number++}`
        const parameters = {
          jobId,
          caller: 'c',
          arrivesAt: now,
          deadlineMs: 30_000,
          size: drawSize(random),
        }
        const coordinator = localInstances[Math.floor(random() * localInstances.length)]
        if (coordinator !== undefined) this.placeJob(now, coordinator, drawJob(parameters, random))
        const gapMs = (MEAN_RUN_MS * MEAN_TASKS) / (this.scenario.slotsPerZone * load)
        const next = now - Math.log(1 - random()) * gapMs
        if (next < endMs) this.schedule(next, arrive)
      }
      this.schedule(0, arrive)
    })
    const report = (now: number): void => {
      this.updateReports()
      if (now < endMs) this.schedule(now + reportMs, report)
    }
    this.schedule(0, report)
    for (let next = this.events.pop(); next; next = this.events.pop()) next.run(next.heapKey)
    return this.outcome
  }

  private schedule(dueAt: number, run: (now: number) => void): void {
    this.events.push({ heapKey: dueAt, heapIndex: -1, run })
  }

  private updateReports(): void {
    for (const zone of this.zones) {
      const freeSlots = this.scenario.slotsPerZone - zone.busy
      const waitMs = freeSlots > 0 ? 0 : zone.queue.queuedWorkMs / this.scenario.slotsPerZone
      zone.report = { freeSlots, queuedTasks: zone.queue.size, waitMs }
    }
    for (const { unreported } of this.instances) unreported.clear()
  }

  private placeJob(now: number, coordinator: Instance, job: SimulatedJob): void {
    const routed = job.tasks.map((task, index) => ({ ...task, index }))
    const offers = this.zones.map((zone) => this.offer(zone, coordinator))
    const assignments = coordinator.router.assign(now, coordinator.zone.name, routed, offers)
    const jobId = job.tasks[0]?.jobId ?? ''
    this.jobs.set(jobId, { job, left: job.tasks.length })
    for (const { index, instance } of assignments) {
      const zone = this.zones.find(({ name }) => name === instance)
      const task = job.tasks[index]
      if (zone === undefined || task === undefined) continue
      coordinator.unreported.set(instance, (coordinator.unreported.get(instance) ?? 0) + 1)
      this.outcome.tasks += 1
      if (zone !== coordinator.zone) this.outcome.tasksInOtherZones += 1
      const oneWayMs = this.delayMs(coordinator.zone, zone)
      this.schedule(now + oneWayMs, (arrivalAt) => {
        zone.queue.push(arrivalAt, task)
        this.startTasks(arrivalAt, zone, coordinator)
      })
    }
  }

  private offer(zone: Zone, coordinator: Instance): OwnerOffer {
    return {
      ...zone.report,
      instance: zone.name,
      zone: zone.name,
      service: 's',
      slots: this.scenario.slotsPerZone,
      meanRunMs: MEAN_RUN_MS,
      largest: undefined,
      roundTripMs: 2 * this.delayMs(coordinator.zone, zone),
      unreported: coordinator.unreported.get(zone.name) ?? 0,
    }
  }

  private delayMs(from: Zone, to: Zone): number {
    return from === to ? SAME_ZONE_DELAY_MS : this.scenario.crossZoneDelayMs
  }

  private startTasks(now: number, zone: Zone, coordinator: Instance): void {
    while (zone.busy < this.scenario.slotsPerZone) {
      const task = zone.queue.pop(now, () => true)
      if (task === undefined) return
      zone.busy += 1
      this.schedule(now + task.runMs, (endAt) => {
        zone.busy -= 1
        this.endTask(endAt + this.delayMs(coordinator.zone, zone), task)
        this.startTasks(endAt, zone, coordinator)
      })
    }
  }

  private endTask(now: number, { jobId }: SimulatedTask): void {
    const state = this.jobs.get(jobId)
    if (state === undefined) return
    state.left -= 1
    for (const zone of this.zones) zone.queue.noteProgress(jobId, state.left)
    if (state.left > 0) return
    this.jobs.delete(jobId)
    const slots = this.scenario.slotsPerZone * this.zones.length
    this.outcome.stretches.push((now - state.job.arrivesAt) / idealMs(state.job, slots))
  }
}
