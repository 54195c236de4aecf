import type { QueuedTask, TaskQueue } from '../order/TaskQueue'
import { IndexedHeap } from '../util/IndexedHeap'
import { drawNormal, seededRandom } from './seededRandom'

/** A queue in front of some slots, and the jobs that come to it. @internal */
export interface OrderScenario {
  readonly slots: number
  /** Work that arrives over what the slots can do. */
  readonly load: number
  readonly jobs: number
  readonly seed: number
  readonly deadlineMs: number
  /** Share of all jobs that the first caller sends; the others share the rest evenly. */
  readonly heavyShare: number
  readonly callers: number
  /** Jobs of one task that the first caller sends all at once, in the middle of the run. */
  readonly flood: number
  /** Share of the jobs whose deadline is tight. */
  readonly tightShare: number
}

/** How long one job took. @internal */
export interface JobOutcome {
  readonly caller: string
  readonly tasks: number
  readonly responseMs: number
  /** With all slots to itself. */
  readonly idealMs: number
  readonly onTime: boolean
}

interface SimulatedTask extends QueuedTask {
  readonly runMs: number
}

interface SimulatedJob {
  readonly caller: string
  readonly arrivesAt: number
  readonly deadlineAt: number
  readonly tasks: readonly SimulatedTask[]
}

/** Median and spread give the users' 50 ms to 1 s with a few of several seconds. */
const MEDIAN_RUN_MS = 200
const RUN_SIGMA = 0.8
const MIN_RUN_MS = 50
const MAX_RUN_MS = 5000
const ESTIMATE_SIGMA = 0.4
/** Little more than the longest tasks take in most jobs. */
const TIGHT_DEADLINE_MS = 3000
const MEAN_RUN_MS = 275
const MEAN_TASKS = 17.8

function drawSize(random: () => number): number {
  const kind = random()
  if (kind < 0.5) return 1
  if (kind < 0.8) return 2 + Math.floor(random() * 19)
  return 20 + Math.floor(random() * 101)
}

function drawCaller({ heavyShare, callers }: OrderScenario, random: () => number): string {
  return random() < heavyShare ? 'c0' : `c${1 + Math.floor(random() * (callers - 1))}`
}

function drawJob(
  scenario: OrderScenario,
  random: () => number,
  jobId: string,
  at: number,
  caller: string,
  size: number,
): SimulatedJob {
  const isTight = random() < scenario.tightShare
  const deadlineAt = at + (isTight ? TIGHT_DEADLINE_MS : scenario.deadlineMs)
  const tasks = Array.from({ length: size }, (_, index) => {
    const drawn = MEDIAN_RUN_MS * Math.exp(RUN_SIGMA * drawNormal(random))
    return {
      taskId: `${jobId}.${index}`,
      jobId,
      caller,
      service: 's',
      deadlineAt,
      enqueuedAt: at,
      estimateMs: MEAN_RUN_MS * Math.exp(ESTIMATE_SIGMA * drawNormal(random)),
      jobRemaining: size,
      resources: undefined,
      attempt: 0,
      runMs: Math.min(MAX_RUN_MS, Math.max(MIN_RUN_MS, drawn)),
    }
  })
  return { caller, arrivesAt: at, deadlineAt, tasks }
}

function idealMs({ tasks }: SimulatedJob, slots: number): number {
  const sumMs = tasks.reduce((sum, task) => sum + task.runMs, 0)
  return Math.max(sumMs / slots, ...tasks.map((task) => task.runMs))
}

/** Runs one queue against one scenario; the same seed gives every queue the same jobs. @internal */
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
    const job = drawJob(scenario, random, jobId, at, caller, size)
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
    for (let extra = 0; extra < scenario.flood; extra++) submit(at, `flood${extra}`, 'c0', 1)
  }
  runUntil(Infinity)
  return outcomes
}
