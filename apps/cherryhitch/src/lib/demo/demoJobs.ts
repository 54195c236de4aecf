import type { JobRequest } from '@cherryhitch/stand-ins'
import { SeededRandom } from '@cherryhitch/stand-ins'

const WIDE_TASKS = 100
const WIDE_RUN_MS = { min: 100, max: 400 }
const SHORT_RUN_MS = 20
const DEADLINE_MS = 20_000
const CALLER = 'counter'

function job(submission: string, service: string, runTimes: readonly number[]): JobRequest {
  return {
    submission,
    caller: CALLER,
    key: '',
    idempotent: true,
    deadlineMs: DEADLINE_MS,
    arrivalMs: 0,
    tasks: runTimes.map((runMs, index) => ({ service, token: `${submission}-${index}`, runMs })),
  }
}

/** Jobs of 100 tasks of mixed length. @internal */
export function wideJobs(service: string, count: number, seed: number): readonly JobRequest[] {
  const random = new SeededRandom(seed)
  const { min, max } = WIDE_RUN_MS
  return Array.from({ length: count }, (_, index) => {
    const runTimes = Array.from({ length: WIDE_TASKS }, () =>
      Math.round(min + random.next() * (max - min)),
    )
    return job(`wide-${index}`, service, runTimes)
  })
}

/** Jobs of one short task. @internal */
export function shortJobs(service: string, count: number): readonly JobRequest[] {
  return Array.from({ length: count }, (_, index) => job(`short-${index}`, service, [SHORT_RUN_MS]))
}
