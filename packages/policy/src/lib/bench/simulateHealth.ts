import { HealthFailure, HealthState } from '../health/EndpointHealth'
import type { EndpointHealth } from '../health/EndpointHealth'
import { IndexedHeap } from '../util/IndexedHeap'
import { seededRandom } from '@cherryhitch/model'
import { drawJob, drawSize, MEAN_RUN_MS, MEAN_TASKS } from './workload'

/** The simulated endpoints and jobs, and their failures. @internal */
export interface HealthScenario {
  readonly endpoints: number
  readonly slotsEach: number
  readonly load: number
  readonly endMs: number
  readonly seed: number
  /** Number of faulty endpoints. Their fault begins after a quarter of the run. */
  readonly bad: number
  /** Share of tasks that fail at a faulty endpoint, by the time since its fault began. */
  readonly badShare: (sinceMs: number) => number
  /** Run time of a task that fails at a faulty endpoint. */
  readonly failMs: number
  /** Whether faulty endpoints refuse tasks instead of running and failing them. */
  readonly refuses: boolean
  /** Share of tasks that fail at random, at any endpoint. */
  readonly noise: number
  /** Share of jobs that fail at every endpoint. */
  readonly poison: number
}

/** Results of a health rule in one run. @internal */
export interface HealthOutcome {
  /** Time from the fault to the first ejection, for each faulty endpoint that was ejected. */
  readonly ejectedAfterMs: number[]
  readonly failuresBeforeEjection: number[]
  falseEjections: number
  /** Failures and refusals at faulty endpoints. */
  badFailures: number
  /** Share of the healthy endpoints' time during which their state was not Healthy. */
  healthyTimeLost: number
  jobs: number
  /** Jobs that failed, without those that fail at every endpoint. */
  failedJobs: number
}

interface SimulatedEndpoint {
  readonly name: string
  readonly isFaulty: boolean
  busy: number
  failures: number
  wasEjected: boolean
  lastState: HealthState
  lastStateAt: number
}

interface WaitingTask {
  readonly job: JobState
  readonly runMs: number
}

interface JobState {
  readonly jobId: string
  readonly alwaysFails: boolean
  failed: boolean
}

interface RunningTask {
  heapKey: number
  heapIndex: number
  readonly task: WaitingTask
  readonly endpoint: SimulatedEndpoint
  readonly failure: HealthFailure | undefined
}

const REFUSAL_MS = 2

/** Simulates one run; see `healthBench.ts`. @internal */
export class HealthSimulation {
  readonly outcome: HealthOutcome = {
    ejectedAfterMs: [],
    failuresBeforeEjection: [],
    falseEjections: 0,
    badFailures: 0,
    healthyTimeLost: 0,
    jobs: 0,
    failedJobs: 0,
  }
  private readonly random: () => number
  private readonly endpoints: SimulatedEndpoint[]
  private readonly running = new IndexedHeap<RunningTask>()
  private waiting: WaitingTask[] = []
  private readonly faultAt: number

  constructor(
    private readonly scenario: HealthScenario,
    private readonly health: EndpointHealth,
  ) {
    this.random = seededRandom(scenario.seed)
    this.faultAt = scenario.endMs / 4
    this.endpoints = Array.from({ length: scenario.endpoints }, (_, index) => ({
      name: `e${index}`,
      isFaulty: index < scenario.bad,
      busy: 0,
      failures: 0,
      wasEjected: false,
      lastState: HealthState.Healthy,
      lastStateAt: 0,
    }))
    for (const { name } of this.endpoints) health.add(name, 's')
  }

  run(): HealthOutcome {
    const { endpoints, slotsEach, load, endMs, poison } = this.scenario
    const gapMs = (MEAN_RUN_MS * MEAN_TASKS) / (endpoints * slotsEach * load)
    let at = 0
    for (let number = 0; at < endMs; number++) {
      at -= Math.log(1 - this.random()) * gapMs
      this.runUntil(at)
      const jobId = `j${number}`
      const job = { jobId, alwaysFails: this.random() < poison, failed: false }
      const size = drawSize(this.random)
      const parameters = { jobId, caller: 'c', arrivesAt: at, deadlineMs: 1e9, size }
      for (const { runMs } of drawJob(parameters, this.random).tasks)
        this.waiting.push({ job, runMs })
      this.outcome.jobs += 1
      this.startTasks(at)
    }
    const healthyMs = (endpoints - this.scenario.bad) * endMs
    this.outcome.healthyTimeLost /= Math.max(1, healthyMs)
    return this.outcome
  }

  private runUntil(limit: number): void {
    for (
      let next = this.running.peek();
      next && next.heapKey <= limit;
      next = this.running.peek()
    ) {
      this.running.pop()
      this.endTask(next.heapKey, next)
      this.startTasks(next.heapKey)
    }
  }

  private startTasks(now: number): void {
    this.waiting = this.waiting.filter(({ job }) => !job.failed)
    while (this.waiting.length > 0) {
      const endpoint = this.leastBusy(now)
      if (endpoint === undefined) return
      const task = this.waiting.shift()
      if (task === undefined) return
      endpoint.busy += 1
      const failure = this.drawFailure(now, endpoint, task.job)
      const runMs =
        failure === undefined ? task.runMs : this.failureMs(endpoint, failure, task.runMs)
      this.running.push({ heapKey: now + runMs, heapIndex: -1, task, endpoint, failure })
    }
  }

  private leastBusy(now: number): SimulatedEndpoint | undefined {
    let best: SimulatedEndpoint | undefined
    for (const endpoint of this.endpoints) {
      const limit = this.slotsOf(now, endpoint)
      if (endpoint.busy < limit && (best === undefined || endpoint.busy < best.busy))
        best = endpoint
    }
    return best
  }

  private slotsOf(now: number, endpoint: SimulatedEndpoint): number {
    const state = this.health.state(now, endpoint.name)
    this.recordState(now, endpoint, state)
    if (state === HealthState.Ejected) return 0
    return state === HealthState.Probation ? 1 : this.scenario.slotsEach
  }

  private recordState(now: number, endpoint: SimulatedEndpoint, state: HealthState): void {
    if (!endpoint.isFaulty && endpoint.lastState !== HealthState.Healthy) {
      this.outcome.healthyTimeLost += now - endpoint.lastStateAt
    }
    const isNew = state !== endpoint.lastState && state !== HealthState.Healthy
    const previous = endpoint.lastState
    endpoint.lastState = state
    endpoint.lastStateAt = now
    if (!isNew || previous !== HealthState.Healthy) return
    if (!endpoint.isFaulty || now < this.faultAt) {
      this.outcome.falseEjections += 1
    } else if (!endpoint.wasEjected) {
      endpoint.wasEjected = true
      this.outcome.ejectedAfterMs.push(now - this.faultAt)
      this.outcome.failuresBeforeEjection.push(endpoint.failures)
    }
  }

  private drawFailure(
    now: number,
    endpoint: SimulatedEndpoint,
    job: JobState,
  ): HealthFailure | undefined {
    const { badShare, refuses, noise } = this.scenario
    const isFaultyNow = endpoint.isFaulty && now >= this.faultAt
    if (isFaultyNow && this.random() < badShare(now - this.faultAt)) {
      return refuses ? HealthFailure.Refused : HealthFailure.TaskFailed
    }
    const failsRegardless = job.alwaysFails || this.random() < noise
    return failsRegardless ? HealthFailure.TaskFailed : undefined
  }

  private failureMs(endpoint: SimulatedEndpoint, failure: HealthFailure, runMs: number): number {
    if (failure === HealthFailure.Refused) return REFUSAL_MS
    return endpoint.isFaulty ? this.scenario.failMs : runMs
  }

  private endTask(now: number, { task, endpoint, failure }: RunningTask): void {
    endpoint.busy -= 1
    const observation = { endpoint: endpoint.name, service: 's', jobId: task.job.jobId }
    if (failure === undefined) {
      this.health.recordSuccess(now, observation, task.runMs)
      return
    }
    this.health.recordFailure(now, observation, failure)
    if (endpoint.isFaulty && now >= this.faultAt) {
      endpoint.failures += 1
      this.outcome.badFailures += 1
    }
    if (failure === HealthFailure.Refused) {
      this.waiting.push(task)
      return
    }
    if (!task.job.failed && !task.job.alwaysFails) this.outcome.failedJobs += 1
    task.job.failed = true
  }
}
