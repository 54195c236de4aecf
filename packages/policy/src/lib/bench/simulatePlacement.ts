import { DeadlineFairQueue } from '../order/DeadlineFairQueue'
import type { EndpointPicker, PlacementCandidate } from '../placement/EndpointPicker'
import { SlownessTracker } from '../placement/SlownessTracker'
import { IndexedHeap } from '../util/IndexedHeap'
import { seededRandom } from '@cherryhitch/model'
import { drawJob, drawSize, idealMs, MEAN_RUN_MS, MEAN_TASKS } from './workload'
import type { SimulatedJob, SimulatedTask } from './workload'

/** The simulated endpoints, in racks and with some stragglers, and the load. @internal */
export interface PlacementScenario {
  readonly endpoints: number
  readonly slotsEach: number
  readonly endpointsPerRack: number
  readonly load: number
  readonly jobs: number
  readonly seed: number
  readonly stragglers: number
  /** Ratio of run times at stragglers to those at other endpoints. */
  readonly slowFactor: number
  /** Whether the picker gets a forecast of the next free slot at other endpoints. */
  readonly tellsOutlook: boolean
}

/** @internal */
export interface PlacementOutcome {
  /** Ratio of response time to ideal duration, for each job. */
  readonly stretches: number[]
  tasksAtStragglers: number
  tasks: number
}

interface SimulatedEndpoint {
  readonly name: string
  readonly rack: string
  readonly isStraggler: boolean
  busy: number
  readonly runningByJob: Map<string, number>
}

interface RunningTask {
  heapKey: number
  heapIndex: number
  readonly task: SimulatedTask
  readonly endpoint: SimulatedEndpoint
  readonly runMs: number
}

/** Interval at which waiting tasks are retried while no other event occurs, in milliseconds. */
const RETRY_MS = 10

/** Simulates one run; see `placementBench.ts`. @internal */
export class PlacementSimulation {
  private readonly outcome: PlacementOutcome = { stretches: [], tasksAtStragglers: 0, tasks: 0 }
  private readonly queue = new DeadlineFairQueue<SimulatedTask>()
  private readonly slowness = new SlownessTracker()
  private readonly running = new IndexedHeap<RunningTask>()
  private readonly jobs = new Map<string, { job: SimulatedJob; left: number }>()
  private readonly endpoints: SimulatedEndpoint[]

  constructor(
    private readonly scenario: PlacementScenario,
    private readonly picker: EndpointPicker,
  ) {
    this.endpoints = Array.from({ length: scenario.endpoints }, (_, index) => ({
      name: `e${index}`,
      rack: `r${Math.floor(index / scenario.endpointsPerRack)}`,
      isStraggler: index < scenario.stragglers,
      busy: 0,
      runningByJob: new Map<string, number>(),
    }))
  }

  run(): PlacementOutcome {
    const { endpoints, slotsEach, load, jobs, seed } = this.scenario
    const random = seededRandom(seed)
    const gapMs = (MEAN_RUN_MS * MEAN_TASKS) / (endpoints * slotsEach * load)
    let at = 0
    for (let number = 0; number < jobs; number++) {
      at -= Math.log(1 - random()) * gapMs
      this.runUntil(at)
      const jobId = `j${number}`
      const parameters = {
        jobId,
        caller: 'c',
        arrivesAt: at,
        deadlineMs: 1e9,
        size: drawSize(random),
      }
      const job = drawJob(parameters, random)
      this.jobs.set(jobId, { job, left: job.tasks.length })
      for (const task of job.tasks) this.queue.push(at, task)
      this.startTasks(at)
    }
    this.runUntil(Infinity)
    return this.outcome
  }

  private runUntil(limit: number): void {
    let now = 0
    for (
      let next = this.running.peek();
      next && next.heapKey <= limit;
      next = this.running.peek()
    ) {
      const retryAt = now + RETRY_MS
      if (now > 0 && this.queue.size > 0 && retryAt < next.heapKey) {
        now = retryAt
      } else {
        now = next.heapKey
        this.running.pop()
        this.endTask(now, next)
      }
      this.startTasks(now)
    }
  }

  private startTasks(now: number): void {
    for (;;) {
      let choice: PlacementCandidate | undefined
      const task = this.queue.pop(now, (one) => {
        choice = this.picker.pick(now, one, this.candidates(now, one), this.outlook())
        return choice !== undefined
      })
      const endpoint = this.endpoints.find(({ name }) => name === choice?.endpoint)
      if (task === undefined || endpoint === undefined) return
      const runMs = task.runMs * (endpoint.isStraggler ? this.scenario.slowFactor : 1)
      endpoint.busy += 1
      endpoint.runningByJob.set(task.jobId, (endpoint.runningByJob.get(task.jobId) ?? 0) + 1)
      this.outcome.tasks += 1
      if (endpoint.isStraggler) this.outcome.tasksAtStragglers += 1
      this.running.push({ heapKey: now + runMs, heapIndex: -1, task, endpoint, runMs })
    }
  }

  private candidates(now: number, { jobId }: SimulatedTask): PlacementCandidate[] {
    const inRack = new Map<string, number>()
    for (const { rack, runningByJob } of this.endpoints) {
      inRack.set(rack, (inRack.get(rack) ?? 0) + (runningByJob.get(jobId) ?? 0))
    }
    const free = this.endpoints.filter(({ busy }) => busy < this.scenario.slotsEach)
    return free.map(({ name, rack, busy, runningByJob }) => ({
      endpoint: name,
      rack,
      slots: this.scenario.slotsEach,
      busySlots: busy,
      slowness: this.slowness.slowness(now, name),
      sameJobHere: runningByJob.get(jobId) ?? 0,
      sameJobInRack: inRack.get(rack) ?? 0,
    }))
  }

  private outlook() {
    if (!this.scenario.tellsOutlook) return undefined
    const { endpoints, stragglers, slotsEach } = this.scenario
    return { nextSlotMs: MEAN_RUN_MS / ((endpoints - stragglers) * slotsEach) }
  }

  private endTask(now: number, { task, endpoint, runMs }: RunningTask): void {
    endpoint.busy -= 1
    endpoint.runningByJob.set(task.jobId, (endpoint.runningByJob.get(task.jobId) ?? 1) - 1)
    if (endpoint.runningByJob.get(task.jobId) === 0) endpoint.runningByJob.delete(task.jobId)
    const { estimateMs, service } = task
    this.slowness.observe(now, { endpoint: endpoint.name, service, estimateMs, runMs })
    const state = this.jobs.get(task.jobId)
    if (state === undefined) return
    state.left -= 1
    this.queue.noteProgress(task.jobId, state.left)
    if (state.left > 0) return
    this.jobs.delete(task.jobId)
    const slots = this.scenario.endpoints * this.scenario.slotsEach
    this.outcome.stretches.push((now - state.job.arrivesAt) / idealMs(state.job, slots))
  }
}
