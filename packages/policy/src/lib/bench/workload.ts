/** Random jobs for benchmarks, with the sizes and run times that the users of the system expect. */
import type { QueuedTask } from '../order/TaskQueue'
import { drawNormal } from './drawNormal'

/** @internal */
export interface SimulatedTask extends QueuedTask {
  readonly runMs: number
}

/** @internal */
export interface SimulatedJob {
  readonly caller: string
  readonly arrivesAt: number
  readonly deadlineAt: number
  readonly tasks: readonly SimulatedTask[]
}

/** Log-normal run times: mostly 50 ms to 1 s, with a few of several seconds. */
const MEDIAN_RUN_MS = 200
const RUN_SIGMA = 0.8
const MIN_RUN_MS = 50
const MAX_RUN_MS = 5000
const ESTIMATE_SIGMA = 0.4
export const MEAN_RUN_MS = 275
export const MEAN_TASKS = 17.8

/** Draws the number of tasks of a job: 1 for half of the jobs, 2 to 120 for the others. @internal */
export function drawSize(random: () => number): number {
  const kind = random()
  if (kind < 0.5) return 1
  if (kind < 0.8) return 2 + Math.floor(random() * 19)
  return 20 + Math.floor(random() * 101)
}

/** Distribution of jobs over callers. @internal */
export interface CallerDistribution {
  /** Share of the jobs that the first caller sends; the other callers send equal shares. */
  readonly heavyShare: number
  readonly callers: number
}

/** @internal */
export function drawCaller(distribution: CallerDistribution, random: () => number): string {
  const { heavyShare, callers } = distribution
  return random() < heavyShare ? 'c0' : `c${1 + Math.floor(random() * (callers - 1))}`
}

/** Properties of a job that are given when its run times are drawn. @internal */
export interface JobParameters {
  readonly jobId: string
  readonly caller: string
  readonly arrivesAt: number
  readonly deadlineMs: number
  readonly size: number
}

/** @internal */
export function drawJob(parameters: JobParameters, random: () => number): SimulatedJob {
  const { jobId, caller, arrivesAt, size } = parameters
  const deadlineAt = arrivesAt + parameters.deadlineMs
  const tasks = Array.from({ length: size }, (_, index) => {
    const drawn = MEDIAN_RUN_MS * Math.exp(RUN_SIGMA * drawNormal(random))
    return {
      taskId: `${jobId}.${index}`,
      jobId,
      caller,
      service: 's',
      deadlineAt,
      enqueuedAt: arrivesAt,
      estimateMs: MEAN_RUN_MS * Math.exp(ESTIMATE_SIGMA * drawNormal(random)),
      jobRemaining: size,
      resources: undefined,
      attempt: 0,
      runMs: Math.min(MAX_RUN_MS, Math.max(MIN_RUN_MS, drawn)),
    }
  })
  return { caller, arrivesAt, deadlineAt, tasks }
}

/** Shortest possible duration of a job, when it has all slots to itself. @internal */
export function idealMs({ tasks }: SimulatedJob, slots: number): number {
  const sumMs = tasks.reduce((sum, task) => sum + task.runMs, 0)
  return Math.max(sumMs / slots, ...tasks.map((task) => task.runMs))
}
