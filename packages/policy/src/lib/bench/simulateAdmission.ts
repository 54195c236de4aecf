import type { Admission, AdmissionRequest } from '../admission/Admission'
import type { TaskQueue } from '../order/TaskQueue'
import type { OwnerOffer } from '../routing/OwnerRouter'
import { IndexedHeap } from '../util/IndexedHeap'
import { seededRandom } from '@cherryhitch/model'
import { drawCaller, drawJob, drawSize, idealMs, MEAN_RUN_MS, MEAN_TASKS } from './workload'
import type { CallerMix, SimulatedJob, SimulatedTask } from './workload'

/** Several instances that admit jobs to one queue, and a burst. @internal */
export interface BurstScenario extends CallerMix {
  readonly slots: number
  readonly instances: number
  /** How often instances learn how full the queue is. */
  readonly reportMs: number
  /** Arriving work over capacity, before and after the burst, and during it. */
  readonly baseLoad: number
  readonly burstLoad: number
  readonly burstFromMs: number
  readonly burstMs: number
  readonly endMs: number
  readonly deadlinesMs: readonly number[]
  readonly attempts: number
  readonly seed: number
}

/** What became of the jobs. @internal */
export interface BurstOutcome {
  offered: number
  admitted: number
  admittedSingles: number
  offeredSingles: number
  onTime: number
  /** Late, though their run times alone would have fitted the deadline. */
  late: number
  /** Late because their run times alone were too long, against the estimate. */
  tooLong: number
  comebacks: number
  comebacksAdmitted: number
  /** Jobs that were never admitted. */
  givenUp: number
  lightOffered: number
  lightAdmitted: number
  /** Share of the slots' time that was used from the burst's start until its end. */
  busyShare: number
  /** The same, for work of jobs that ended on time. */
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

/** One run; see `admissionBench.ts`. @internal */
export class BurstSimulation {
  private readonly random: () => number
  private readonly instances: Instance[]
  private readonly submissions = new IndexedHeap<Submission>()
  private readonly running = new IndexedHeap<RunningTask>()
  private readonly jobs = new Map<string, { job: AdmittedJob; at: Instance; left: number }>()
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
    comebacks: 0,
    comebacksAdmitted: 0,
    givenUp: 0,
    lightOffered: 0,
    lightAdmitted: 0,
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
      const frame = { jobId, caller, arrivesAt: at, deadlineMs, size: drawSize(this.random) }
      const job = drawJob(frame, this.random)
      this.submissions.push({ heapKey: at, heapIndex: -1, jobId, attempt: 0, job })
      this.outcome.offered += 1
      if (job.tasks.length === 1) this.outcome.offeredSingles += 1
      if (caller !== 'c0') this.outcome.lightOffered += 1
    }
  }

  private submit(now: number, submission: Submission): void {
    this.refreshReport(now)
    const { job, jobId, attempt } = submission
    const at = this.instances[Math.floor(this.random() * this.instances.length)]
    if (at === undefined) return
    const deadlineAt = now + job.deadlineAt - job.arrivesAt
    const decision = at.admission.decide(now, this.request(at, job, deadlineAt))
    if (attempt > 0) this.outcome.comebacks += 1
    if (!decision.admitted) {
      const { refusals } = this.outcome
      refusals[decision.reason] = (refusals[decision.reason] ?? 0) + 1
      const comesBack = decision.retryAfterMs > 0 && attempt + 1 < this.scenario.attempts
      const heapKey = now + decision.retryAfterMs
      if (comesBack)
        this.submissions.push({ heapKey, heapIndex: -1, job, jobId, attempt: attempt + 1 })
      else this.outcome.givenUp += 1
      return
    }
    if (attempt > 0) this.outcome.comebacksAdmitted += 1
    this.admit(now, at, { ...job, deadlineAt, admittedAt: now }, jobId)
  }

  private admit(now: number, at: Instance, job: AdmittedJob, jobId: string): void {
    const count = job.tasks.length
    this.outcome.admitted += 1
    if (count === 1) this.outcome.admittedSingles += 1
    if (job.caller !== 'c0') this.outcome.lightAdmitted += 1
    at.jobs += 1
    at.tasks += count
    at.unreported += count
    at.perCaller.set(job.caller, (at.perCaller.get(job.caller) ?? 0) + count)
    this.jobs.set(jobId, { job, at, left: count })
    for (const task of job.tasks) {
      this.queue.push(now, { ...task, enqueuedAt: now, deadlineAt: job.deadlineAt })
    }
    this.start(now)
  }

  private request(at: Instance, job: SimulatedJob, deadlineAt: number): AdmissionRequest {
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
      unreported: at.unreported,
    }
    const callers = new Set([...at.perCaller.keys(), job.caller]).size
    return {
      caller: job.caller,
      tasks: job.tasks.map((task, index) => ({ ...task, index })),
      deadlineAt,
      offers: [offer],
      jobsInFlight: at.jobs,
      callerTasksInFlight: at.perCaller.get(job.caller) ?? 0,
      tasksInFlight: at.tasks,
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
      this.end(next.heapKey, next.task)
      this.start(next.heapKey)
    }
  }

  private start(now: number): void {
    for (const task of this.queue.removeExpired(now)) this.end(now, task)
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

  private end(now: number, task: SimulatedTask): void {
    const state = this.jobs.get(task.jobId)
    if (state === undefined) return
    const { job, at } = state
    state.left -= 1
    this.queue.noteProgress(task.jobId, state.left)
    if (state.left > 0) return
    this.jobs.delete(task.jobId)
    const tasks = job.tasks.length
    at.jobs -= 1
    at.tasks -= tasks
    const held = (at.perCaller.get(job.caller) ?? 0) - tasks
    if (held > 0) at.perCaller.set(job.caller, held)
    else at.perCaller.delete(job.caller)
    const onTime = now <= job.deadlineAt
    const couldBe = idealMs(job, this.scenario.slots) <= job.deadlineAt - job.admittedAt
    this.outcome[onTime ? 'onTime' : couldBe ? 'late' : 'tooLong'] += 1
    if (!onTime || !this.inBurst(now)) return
    this.outcome.usefulShare += job.tasks.reduce((sum, { runMs }) => sum + runMs, 0)
  }
}
