import { create } from '@bufbuild/protobuf'
import type { JobAnswer, Reason } from '@cherryhitch/protocol'
import { JobAnswerSchema, JobState, Outcome } from '@cherryhitch/protocol'
import type { Job } from './Job'

/** Settings in force when an answer is created. @internal */
export interface SettingsStamp {
  readonly version: number
  readonly current: boolean
}

/** Why a job ends without success. @internal */
export interface JobProblem {
  readonly reason: Reason
  /** One sentence shown to the caller. */
  readonly detail: string
  /** Time after which to retry; 0 if a retry would not help. */
  readonly retryAfterMs: number
}

/** @internal */
export function problem(reason: Reason, detail: string, retryAfterMs = 0): JobProblem {
  return { reason, detail, retryAfterMs }
}

/** Answer for a job that was refused before any of its tasks was placed. @internal */
export function refusedAnswer(
  jobId: string,
  tasks: number,
  why: JobProblem,
  stamp: SettingsStamp,
): JobAnswer {
  return create(JobAnswerSchema, {
    jobId,
    state: JobState.REFUSED,
    outcome: Outcome.NOT_RUN,
    ...why,
    settingsVersion: stamp.version,
    settingsCurrent: stamp.current,
    tasks,
  })
}

/** @internal */
export function runningAnswer(job: Job, stamp: SettingsStamp): JobAnswer {
  return create(JobAnswerSchema, {
    jobId: job.joinedId === '' ? job.id : job.joinedId,
    state: JobState.RUNNING,
    settingsVersion: stamp.version,
    settingsCurrent: stamp.current,
    tasks: job.tasks.length,
    tasksEnded: job.tasksEnded,
  })
}

/** @internal */
export function succeededAnswer(job: Job, stamp: SettingsStamp): JobAnswer {
  return create(JobAnswerSchema, {
    jobId: job.id,
    state: JobState.SUCCEEDED,
    outcome: Outcome.SUCCEEDED,
    outputs: job.tasks.map((task) => task.output),
    settingsVersion: stamp.version,
    settingsCurrent: stamp.current,
    tasks: job.tasks.length,
    tasksEnded: job.tasks.length,
  })
}

/** Answer without outputs for a job that failed or was cancelled. @internal */
export function unsuccessfulAnswer(
  job: Job,
  state: JobState.FAILED | JobState.CANCELLED,
  why: JobProblem,
  stamp: SettingsStamp,
): JobAnswer {
  return create(JobAnswerSchema, {
    jobId: job.id,
    state,
    outcome: job.outcomeWithoutSuccess,
    ...why,
    settingsVersion: stamp.version,
    settingsCurrent: stamp.current,
    tasks: job.tasks.length,
    tasksEnded: job.tasksEnded,
  })
}

/** Answer for a job whose state was known only to a lost coordinator. @internal */
export function unknownAnswer(jobId: string, why: JobProblem, stamp: SettingsStamp): JobAnswer {
  return create(JobAnswerSchema, {
    jobId,
    state: JobState.FAILED,
    outcome: Outcome.UNKNOWN,
    ...why,
    settingsVersion: stamp.version,
    settingsCurrent: stamp.current,
  })
}
