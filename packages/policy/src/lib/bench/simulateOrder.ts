import type { TaskQueue } from '../order/TaskQueue'
import { IndexedHeap } from '../util/IndexedHeap'
import { seededRandom } from '@cherryhitch/model'
import { drawCaller, drawJob, drawSize, idealMs, MEAN_RUN_MS, MEAN_TASKS } from './workload'
import type { CallerDistribution, SimulatedJob, SimulatedTask } from './workload'

/** Slightly more than the run time of the longest task in most jobs. */
const TIGHT_DEADLINE_MS = 3000

/** The slots that a queue feeds, and the jobs that arrive. @internal */
export interface OrderScenario extends CallerDistribution {
  readonly slots: number
  /** Ratio of arriving work to capacity. */
  readonly load: number
  readonly jobs: number
  readonly seed: number
  readonly deadlineMs: number
  /** Number of single-task jobs that the first caller sends at once in the middle of the run. */
  readonly floodJobs: number
  /** Share of the jobs whose deadline is tight. */
  readonly tightShare: number
}

/** Result for one job. @internal */
export interface JobOutcome {
  readonly caller: string
  readonly tasks: number
  readonly responseMs: number
  /** Shortest possible duration, with all slots to itself. */
  readonly idealMs: number
  readonly onTime: boolean
}

/** Simulates one queue in one scenario. The same seed gives every queue the same jobs. @internal */
export function simulateOrder(
  queue: TaskQueue<SimulatedTask>,
  scenario: OrderScenario,
): readonly JobOutcome[] {
  const random = seededRandom(scenario.seed)
  const gapMs = (MEAN_RUN_MS * MEAN_TASKS) / (scenario.slots * scenario.load)
  const jobs = new Map<string, { job: SimulatedJob; remaining: number }>()
  const running = new IndexedHeap<{ heapKey: number; heapIndex: number; jobId: string }>()
  const outcomes: JobOutcome[] = []

  const start = (now: number): void => {
    while (running.size < scenario.slots) {
      const task = queue.pop(now, () => true)
      if (task === undefined) return
      running.push({ heapKey: now + task.runMs, heapIndex: -1, jobId: task.jobId })
    }
  }
  const end = (now: number, jobId: string): void => {
    const state = jobs.get(jobId)
    if (state === undefined) return
    state.remaining -= 1
    queue.noteProgress(jobId, state.remaining)
    if (state.remaining > 0) return
    const responseMs = now - state.job.arrivesAt
    outcomes.push({
      caller: state.job.caller,
      tasks: state.job.tasks.length,
      responseMs,
      idealMs: idealMs(state.job, scenario.slots),
      onTime: now <= state.job.deadlineAt,
    })
    jobs.delete(jobId)
  }
  const runUntil = (limit: number): void => {
    for (let next = running.peek(); next && next.heapKey <= limit; next = running.peek()) {
      running.pop()
      end(next.heapKey, next.jobId)
      start(next.heapKey)
    }
  }

  const submit = (at: number, jobId: string, caller: string, size: number): void => {
    const deadlineMs = random() < scenario.tightShare ? TIGHT_DEADLINE_MS : scenario.deadlineMs
    const job = drawJob({ jobId, caller, arrivesAt: at, deadlineMs, size }, random)
    jobs.set(jobId, { job, remaining: size })
    for (const task of job.tasks) queue.push(at, task)
    start(at)
  }

  let at = 0
  for (let number = 0; number < scenario.jobs; number++) {
    at -= Math.log(1 - random()) * gapMs
    runUntil(at)
    submit(at, String(number), drawCaller(scenario, random), drawSize(random))
    if (number !== scenario.jobs >> 1) continue
    for (let extra = 0; extra < scenario.floodJobs; extra++) submit(at, `flood${extra}`, 'c0', 1)
  }
  runUntil(Infinity)
  return outcomes
}
