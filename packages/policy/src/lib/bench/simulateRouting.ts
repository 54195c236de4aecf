import { DeadlineFairQueue } from '../order/DeadlineFairQueue'
import type { OwnerOffer, OwnerRouter } from '../routing/OwnerRouter'
import { IndexedHeap } from '../util/IndexedHeap'
import { seededRandom } from '@cherryhitch/model'
import { drawJob, drawSize, idealMs, MEAN_RUN_MS, MEAN_TASKS } from './workload'
import type { SimulatedJob, SimulatedTask } from './workload'

/** Zones with an owner each, and instances that route to them by reports. @internal */
export interface RoutingScenario {
  readonly slotsEach: number
  /** Work that arrives in each zone over what its slots can do. */
  readonly loads: readonly number[]
  readonly instancesEach: number
  readonly reportMs: number
  readonly betweenZonesMs: number
  readonly endMs: number
  readonly seed: number
}

/** @internal */
export interface RoutingOutcome {
  readonly stretches: number[]
  tasks: number
  tasksElsewhere: number
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

interface Moment {
  heapKey: number
  heapIndex: number
  readonly run: (now: number) => void
}

const OWN_ZONE_MS = 0.3

/** One run; see `routingBench.ts`. @internal */
export class RoutingSimulation {
  private readonly outcome: RoutingOutcome = { stretches: [], tasks: 0, tasksElsewhere: 0 }
  private readonly moments = new IndexedHeap<Moment>()
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
      report: { freeSlots: scenario.slotsEach, queuedTasks: 0, waitMs: 0 },
    }))
    this.instances = this.zones.flatMap((zone) =>
      Array.from({ length: scenario.instancesEach }, () => ({
        zone,
        router: makeRouter(),
        unreported: new Map<string, number>(),
      })),
    )
  }

  run(): RoutingOutcome {
    const { loads, instancesEach, reportMs, endMs, seed } = this.scenario
    const random = seededRandom(seed)
    loads.forEach((load, index) => {
      let number = 0
      const here = this.instances.slice(index * instancesEach, (index + 1) * instancesEach)
      const arrive = (now: number): void => {
        const jobId = `${index}-${number++}`
        const frame = {
          jobId,
          caller: 'c',
          arrivesAt: now,
          deadlineMs: 30_000,
          size: drawSize(random),
        }
        const at = here[Math.floor(random() * here.length)]
        if (at !== undefined) this.place(now, at, drawJob(frame, random))
        const gapMs = (MEAN_RUN_MS * MEAN_TASKS) / (this.scenario.slotsEach * load)
        const next = now - Math.log(1 - random()) * gapMs
        if (next < endMs) this.at(next, arrive)
      }
      this.at(0, arrive)
    })
    const report = (now: number): void => {
      this.report()
      if (now < endMs) this.at(now + reportMs, report)
    }
    this.at(0, report)
    for (let next = this.moments.pop(); next; next = this.moments.pop()) next.run(next.heapKey)
    return this.outcome
  }

  private at(when: number, run: (now: number) => void): void {
    this.moments.push({ heapKey: when, heapIndex: -1, run })
  }

  private report(): void {
    for (const zone of this.zones) {
      const freeSlots = this.scenario.slotsEach - zone.busy
      const waitMs = freeSlots > 0 ? 0 : zone.queue.queuedWorkMs / this.scenario.slotsEach
      zone.report = { freeSlots, queuedTasks: zone.queue.size, waitMs }
    }
    for (const { unreported } of this.instances) unreported.clear()
  }

  private place(now: number, at: Instance, job: SimulatedJob): void {
    const routed = job.tasks.map((task, index) => ({ ...task, index }))
    const offers = this.zones.map((zone) => this.offer(zone, at))
    const assignments = at.router.assign(now, at.zone.name, routed, offers)
    const jobId = job.tasks[0]?.jobId ?? ''
    this.jobs.set(jobId, { job, left: job.tasks.length })
    for (const { index, instance } of assignments) {
      const zone = this.zones.find(({ name }) => name === instance)
      const task = job.tasks[index]
      if (zone === undefined || task === undefined) continue
      at.unreported.set(instance, (at.unreported.get(instance) ?? 0) + 1)
      this.outcome.tasks += 1
      if (zone !== at.zone) this.outcome.tasksElsewhere += 1
      const wayMs = this.wayMs(at.zone, zone)
      this.at(now + wayMs, (then) => {
        zone.queue.push(then, task)
        this.start(then, zone, at)
      })
    }
  }

  private offer(zone: Zone, at: Instance): OwnerOffer {
    return {
      ...zone.report,
      instance: zone.name,
      zone: zone.name,
      service: 's',
      slots: this.scenario.slotsEach,
      meanRunMs: MEAN_RUN_MS,
      largest: undefined,
      roundTripMs: 2 * this.wayMs(at.zone, zone),
      unreported: at.unreported.get(zone.name) ?? 0,
    }
  }

  private wayMs(from: Zone, to: Zone): number {
    return from === to ? OWN_ZONE_MS : this.scenario.betweenZonesMs
  }

  private start(now: number, zone: Zone, from: Instance): void {
    while (zone.busy < this.scenario.slotsEach) {
      const task = zone.queue.pop(now, () => true)
      if (task === undefined) return
      zone.busy += 1
      this.at(now + task.runMs, (then) => {
        zone.busy -= 1
        this.end(then + this.wayMs(from.zone, zone), task)
        this.start(then, zone, from)
      })
    }
  }

  private end(now: number, { jobId }: SimulatedTask): void {
    const state = this.jobs.get(jobId)
    if (state === undefined) return
    state.left -= 1
    for (const zone of this.zones) zone.queue.noteProgress(jobId, state.left)
    if (state.left > 0) return
    this.jobs.delete(jobId)
    const slots = this.scenario.slotsEach * this.zones.length
    this.outcome.stretches.push((now - state.job.arrivesAt) / idealMs(state.job, slots))
  }
}
