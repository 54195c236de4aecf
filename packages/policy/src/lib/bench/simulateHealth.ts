import { HealthFailure, HealthState } from '../health/EndpointHealth'
import type { EndpointHealth } from '../health/EndpointHealth'
import { IndexedHeap } from '../util/IndexedHeap'
import { seededRandom } from '@cherryhitch/model'
import { drawJob, drawSize, MEAN_RUN_MS, MEAN_TASKS } from './workload'

/** How endpoints and jobs misbehave. @internal */
export interface HealthScenario {
  readonly endpoints: number
  readonly slotsEach: number
  readonly load: number
  readonly endMs: number
  readonly seed: number
  /** These, the first ones, misbehave from a quarter of the run on. */
  readonly bad: number
  /** Share of tasks that fail at a bad endpoint, at an instant after it went bad. */
  readonly badShare: (sinceMs: number) => number
  /** Run time of a task that fails at a bad endpoint. */
  readonly failMs: number
  /** Whether a bad endpoint refuses tasks in place of failing them. */
  readonly refuses: boolean
  /** Share of tasks that fail anywhere. */
  readonly noise: number
  /** Share of jobs that fail wherever they run. */
  readonly poison: number
}

/** What the rule made of it. @internal */
export interface HealthOutcome {
  /** From going bad until the first ejection, for each bad endpoint that was ejected. */
  readonly ejectedAfterMs: number[]
  readonly failuresBeforeEjection: number[]
  falseEjections: number
  /** Failures and refusals at bad endpoints. */
  badFailures: number
  /** Share of the good endpoints' time that was taken from them. */
  goodTimeLost: number
  jobs: number
  /** Jobs without poison that failed. */
  failedJobs: number
}

interface SimulatedEndpoint {
  readonly name: string
  readonly isBad: boolean
  busy: number
  failures: number
  wasEjected: boolean
  lastState: HealthState
  lastStateAt: number
}

interface Waiting {
  readonly job: JobState
  readonly runMs: number
}

interface JobState {
  readonly jobId: string
  readonly isPoisonous: boolean
  failed: boolean
}

interface Running {
  heapKey: number
  heapIndex: number
  readonly task: Waiting
  readonly at: SimulatedEndpoint
  readonly failure: HealthFailure | undefined
}

const REFUSE_MS = 2

/** One run; see `healthBench.ts`. @internal */
export class HealthSimulation {
  readonly outcome: HealthOutcome = {
    ejectedAfterMs: [],
    failuresBeforeEjection: [],
    falseEjections: 0,
    badFailures: 0,
    goodTimeLost: 0,
    jobs: 0,
    failedJobs: 0,
  }
  private readonly random: () => number
  private readonly endpoints: SimulatedEndpoint[]
  private readonly running = new IndexedHeap<Running>()
  private waiting: Waiting[] = []
  private readonly badFrom: number

  constructor(
    private readonly scenario: HealthScenario,
    private readonly health: EndpointHealth,
  ) {
    this.random = seededRandom(scenario.seed)
    this.badFrom = scenario.endMs / 4
    this.endpoints = Array.from({ length: scenario.endpoints }, (_, index) => ({
      name: `e${index}`,
      isBad: index < scenario.bad,
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
      const job = { jobId, isPoisonous: this.random() < poison, failed: false }
      const size = drawSize(this.random)
      const frame = { jobId, caller: 'c', arrivesAt: at, deadlineMs: 1e9, size }
      for (const { runMs } of drawJob(frame, this.random).tasks) this.waiting.push({ job, runMs })
      this.outcome.jobs += 1
      this.start(at)
    }
    const good = (endpoints - this.scenario.bad) * endMs
    this.outcome.goodTimeLost /= Math.max(1, good)
    return this.outcome
  }

  private runUntil(limit: number): void {
    for (
      let next = this.running.peek();
      next && next.heapKey <= limit;
      next = this.running.peek()
    ) {
      this.running.pop()
      this.end(next.heapKey, next)
      this.start(next.heapKey)
    }
  }

  private start(now: number): void {
    this.waiting = this.waiting.filter(({ job }) => !job.failed)
    while (this.waiting.length > 0) {
      const at = this.leastBusy(now)
      if (at === undefined) return
      const task = this.waiting.shift()
      if (task === undefined) return
      at.busy += 1
      const failure = this.drawFailure(now, at, task.job)
      const runMs = failure === undefined ? task.runMs : this.failureMs(at, failure, task.runMs)
      this.running.push({ heapKey: now + runMs, heapIndex: -1, task, at, failure })
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
    this.watch(now, endpoint, state)
    if (state === HealthState.Ejected) return 0
    return state === HealthState.Probation ? 1 : this.scenario.slotsEach
  }

  private watch(now: number, endpoint: SimulatedEndpoint, state: HealthState): void {
    if (!endpoint.isBad && endpoint.lastState !== HealthState.Healthy) {
      this.outcome.goodTimeLost += now - endpoint.lastStateAt
    }
    const isNew = state !== endpoint.lastState && state !== HealthState.Healthy
    const from = endpoint.lastState
    endpoint.lastState = state
    endpoint.lastStateAt = now
    if (!isNew || from !== HealthState.Healthy) return
    if (!endpoint.isBad || now < this.badFrom) {
      this.outcome.falseEjections += 1
    } else if (!endpoint.wasEjected) {
      endpoint.wasEjected = true
      this.outcome.ejectedAfterMs.push(now - this.badFrom)
      this.outcome.failuresBeforeEjection.push(endpoint.failures)
    }
  }

  private drawFailure(
    now: number,
    at: SimulatedEndpoint,
    job: JobState,
  ): HealthFailure | undefined {
    const { badShare, refuses, noise } = this.scenario
    const isBadNow = at.isBad && now >= this.badFrom
    if (isBadNow && this.random() < badShare(now - this.badFrom)) {
      return refuses ? HealthFailure.Refused : HealthFailure.TaskFailed
    }
    const failsAnyway = job.isPoisonous || this.random() < noise
    return failsAnyway ? HealthFailure.TaskFailed : undefined
  }

  private failureMs(at: SimulatedEndpoint, failure: HealthFailure, runMs: number): number {
    if (failure === HealthFailure.Refused) return REFUSE_MS
    return at.isBad ? this.scenario.failMs : runMs
  }

  private end(now: number, { task, at, failure }: Running): void {
    at.busy -= 1
    const seen = { endpoint: at.name, service: 's', jobId: task.job.jobId }
    if (failure === undefined) {
      this.health.recordSuccess(now, seen, task.runMs)
      return
    }
    this.health.recordFailure(now, seen, failure)
    if (at.isBad && now >= this.badFrom) {
      at.failures += 1
      this.outcome.badFailures += 1
    }
    if (failure === HealthFailure.Refused) {
      this.waiting.push(task)
      return
    }
    if (!task.job.failed && !task.job.isPoisonous) this.outcome.failedJobs += 1
    task.job.failed = true
  }
}
