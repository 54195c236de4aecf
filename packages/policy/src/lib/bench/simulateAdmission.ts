import type { Admission, AdmissionRequest } from '../admission/Admission'
import type { TaskQueue } from '../order/TaskQueue'
import type { OwnerOffer } from '../routing/OwnerRouter'
import { IndexedHeap } from '../util/IndexedHeap'
import { seededRandom } from '@cherryhitch/model'
import { drawCaller, drawJob, drawSize, idealMs, MEAN_RUN_MS, MEAN_TASKS } from './workload'
import type { CallerDistribution, SimulatedJob, SimulatedTask } from './workload'

/** Several instances that admit jobs to one queue, under a burst of load. @internal */
export interface BurstScenario extends CallerDistribution {
  readonly slots: number
  readonly instances: number
  /** Interval at which the instances learn the state of the queue. */
  readonly reportMs: number
  /** Ratio of arriving work to capacity outside the burst; `burstLoad` is the ratio during it. */
  readonly baseLoad: number
  readonly burstLoad: number
  readonly burstFromMs: number
  readonly burstMs: number
  readonly endMs: number
  readonly deadlinesMs: readonly number[]
  readonly attempts: number
  readonly seed: number
}

/** Results of one run, in numbers of jobs unless noted. @internal */
export interface BurstOutcome {
  offered: number
  admitted: number
  admittedSingles: number
  offeredSingles: number
  onTime: number
  /** Finished late, although the deadline was feasible with all slots to themselves. */
  late: number
  /** Finished late because their actual run times, unlike the estimates, made it infeasible. */
  tooLong: number
  retries: number
  retriesAdmitted: number
  /** Jobs that were never admitted. */
  givenUp: number
  offeredByLightCallers: number
  admittedFromLightCallers: number
  /** Share of the slots' time that was used by tasks started during the burst. */
  busyShare: number
  /** The same, for the tasks of jobs that finished on time during the burst. */
  usefulShare: number
  readonly refusals: Record<string, number>
}

interface Submission {
  heapKey: number
  heapIndex: number
  readonly job: SimulatedJob
  readonly jobId: string
  readonly attempt: number
}

interface RunningTask {
  heapKey: number
  heapIndex: number
  readonly task: SimulatedTask
}

interface AdmittedJob extends SimulatedJob {
  readonly admittedAt: number
}

interface Instance {
  readonly admission: Admission
  readonly perCaller: Map<string, number>
  jobs: number
  tasks: number
  unreported: number
}

/** Simulates one run; see `admissionBench.ts`. @internal */
export class BurstSimulation {
  private readonly random: () => number
  private readonly instances: Instance[]
  private readonly submissions = new IndexedHeap<Submission>()
  private readonly running = new IndexedHeap<RunningTask>()
  private readonly jobs = new Map<string, { job: AdmittedJob; instance: Instance; left: number }>()
  private report = { freeSlots: 0, queuedTasks: 0, waitMs: 0 }
  private reportedAt = -Infinity
  private readonly outcome: BurstOutcome = {
    offered: 0,
    admitted: 0,
    admittedSingles: 0,
    offeredSingles: 0,
    onTime: 0,
    late: 0,
    tooLong: 0,
    retries: 0,
    retriesAdmitted: 0,
    givenUp: 0,
    offeredByLightCallers: 0,
    admittedFromLightCallers: 0,
    busyShare: 0,
    usefulShare: 0,
    refusals: {},
  }

  constructor(
    private readonly scenario: BurstScenario,
    private readonly queue: TaskQueue<SimulatedTask>,
    makeAdmission: () => Admission,
  ) {
    this.random = seededRandom(scenario.seed)
    this.instances = Array.from({ length: scenario.instances }, () => ({
      admission: makeAdmission(),
      perCaller: new Map<string, number>(),
      jobs: 0,
      tasks: 0,
      unreported: 0,
    }))
  }

  run(): BurstOutcome {
    this.drawArrivals()
    for (let next = this.submissions.pop(); next; next = this.submissions.pop()) {
      this.runUntil(next.heapKey)
      this.submit(next.heapKey, next)
    }
    this.runUntil(Infinity)
    const slotMs = this.scenario.slots * this.scenario.burstMs
    this.outcome.busyShare /= slotMs
    this.outcome.usefulShare /= slotMs
    return this.outcome
  }

  private drawArrivals(): void {
    const { slots, burstFromMs, burstMs, baseLoad, burstLoad, endMs, deadlinesMs } = this.scenario
    let at = 0
    for (let number = 0; at < endMs; number++) {
      const inBurst = at >= burstFromMs && at < burstFromMs + burstMs
      const load = inBurst ? burstLoad : baseLoad
      at -= (Math.log(1 - this.random()) * MEAN_RUN_MS * MEAN_TASKS) / (slots * load)
      const caller = drawCaller(this.scenario, this.random)
      const deadlineMs = deadlinesMs[Math.floor(this.random() * deadlinesMs.length)] ?? 0
      const jobId = String(number)
      const parameters = { jobId, caller, arrivesAt: at, deadlineMs, size: drawSize(this.random) }
      const job = drawJob(parameters, this.random)
      this.submissions.push({ heapKey: at, heapIndex: -1, jobId, attempt: 0, job })
      this.outcome.offered += 1
      if (job.tasks.length === 1) this.outcome.offeredSingles += 1
      if (caller !== 'c0') this.outcome.offeredByLightCallers += 1
    }
  }

  private submit(now: number, submission: Submission): void {
    this.refreshReport(now)
    const { job, jobId, attempt } = submission
    const instance = this.instances[Math.floor(this.random() * this.instances.length)]
    if (instance === undefined) return
    const deadlineAt = now + job.deadlineAt - job.arrivesAt
    const decision = instance.admission.decide(now, this.createRequest(instance, job, deadlineAt))
    if (attempt > 0) this.outcome.retries += 1
    if (!decision.admitted) {
      const { refusals } = this.outcome
      refusals[decision.reason] = (refusals[decision.reason] ?? 0) + 1
      const willRetry = decision.retryAfterMs > 0 && attempt + 1 < this.scenario.attempts
      const heapKey = now + decision.retryAfterMs
      if (willRetry)
        this.submissions.push({ heapKey, heapIndex: -1, job, jobId, attempt: attempt + 1 })
      else this.outcome.givenUp += 1
      return
    }
    if (attempt > 0) this.outcome.retriesAdmitted += 1
    this.admit(now, instance, { ...job, deadlineAt, admittedAt: now }, jobId)
  }

  private admit(now: number, instance: Instance, job: AdmittedJob, jobId: string): void {
    const count = job.tasks.length
    this.outcome.admitted += 1
    if (count === 1) this.outcome.admittedSingles += 1
    if (job.caller !== 'c0') this.outcome.admittedFromLightCallers += 1
    instance.jobs += 1
    instance.tasks += count
    instance.unreported += count
    instance.perCaller.set(job.caller, (instance.perCaller.get(job.caller) ?? 0) + count)
    this.jobs.set(jobId, { job, instance, left: count })
    for (const task of job.tasks) {
      this.queue.push(now, { ...task, enqueuedAt: now, deadlineAt: job.deadlineAt })
    }
    this.startTasks(now)
  }

  private createRequest(
    instance: Instance,
    job: SimulatedJob,
    deadlineAt: number,
  ): AdmissionRequest {
    const { slots, instances } = this.scenario
    const offer: OwnerOffer = {
      ...this.report,
      instance: 'owner',
      zone: 'z',
      service: 's',
      slots,
      meanRunMs: MEAN_RUN_MS,
      largest: undefined,
      roundTripMs: 1,
      unreported: instance.unreported,
    }
    const callers = new Set([...instance.perCaller.keys(), job.caller]).size
    return {
      caller: job.caller,
      tasks: job.tasks.map((task, index) => ({ ...task, index })),
      deadlineAt,
      offers: [offer],
      jobsInFlight: instance.jobs,
      callerTasksInFlight: instance.perCaller.get(job.caller) ?? 0,
      tasksInFlight: instance.tasks,
      activeCallers: callers,
      callerWeight: 1,
      instances,
    }
  }

  private refreshReport(now: number): void {
    if (now - this.reportedAt < this.scenario.reportMs) return
    this.reportedAt = now
    const freeSlots = this.scenario.slots - this.running.size
    const waitMs = freeSlots > 0 ? 0 : this.queue.queuedWorkMs / this.scenario.slots
    this.report = { freeSlots, queuedTasks: this.queue.size, waitMs }
    for (const instance of this.instances) instance.unreported = 0
  }

  private runUntil(limit: number): void {
    for (
      let next = this.running.peek();
      next && next.heapKey <= limit;
      next = this.running.peek()
    ) {
      this.running.pop()
      this.endTask(next.heapKey, next.task)
      this.startTasks(next.heapKey)
    }
  }

  private startTasks(now: number): void {
    for (const task of this.queue.removeExpired(now)) this.endTask(now, task)
    while (this.running.size < this.scenario.slots) {
      const task = this.queue.pop(now, () => true)
      if (task === undefined) return
      this.running.push({ heapKey: now + task.runMs, heapIndex: -1, task })
      if (this.inBurst(now)) this.outcome.busyShare += task.runMs
    }
  }

  private inBurst(at: number): boolean {
    const { burstFromMs, burstMs } = this.scenario
    return at >= burstFromMs && at < burstFromMs + burstMs
  }

  private endTask(now: number, task: SimulatedTask): void {
    const state = this.jobs.get(task.jobId)
    if (state === undefined) return
    const { job, instance } = state
    state.left -= 1
    this.queue.noteProgress(task.jobId, state.left)
    if (state.left > 0) return
    this.jobs.delete(task.jobId)
    const tasks = job.tasks.length
    instance.jobs -= 1
    instance.tasks -= tasks
    const held = (instance.perCaller.get(job.caller) ?? 0) - tasks
    if (held > 0) instance.perCaller.set(job.caller, held)
    else instance.perCaller.delete(job.caller)
    const onTime = now <= job.deadlineAt
    const wasFeasible = idealMs(job, this.scenario.slots) <= job.deadlineAt - job.admittedAt
    this.outcome[onTime ? 'onTime' : wasFeasible ? 'late' : 'tooLong'] += 1
    if (!onTime || !this.inBurst(now)) return
    this.outcome.usefulShare += job.tasks.reduce((sum, { runMs }) => sum + runMs, 0)
  }
}
