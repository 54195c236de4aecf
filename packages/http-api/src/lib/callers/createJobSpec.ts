import { create } from '@bufbuild/protobuf'
import type { JobSpec, TaskSpec } from '@cherryhitch/protocol'
import { JobSpecSchema, ResourcesSchema, TaskSpecSchema } from '@cherryhitch/protocol'
import type { JobBody, TaskBody } from './jobBody'

/** Fields of a job that do not come from the request body. @internal */
export interface JobContext {
  readonly caller: string
  readonly submissionKey: string
  readonly traceparent: string
  /** Deadline when the body states none, in milliseconds. */
  readonly defaultDeadlineMs: number
  /** Time since the head of the request was received, in milliseconds. */
  readonly waitedMs: number
}

/** Sent in place of a deadline that has passed, since 0 could be read as no deadline. */
const MIN_DEADLINE_MS = 1

/** Builds the job message from a validated request body. @internal */
export function createJobSpec(body: JobBody, context: JobContext): JobSpec {
  const deadlineMs = body.deadlineMs ?? context.defaultDeadlineMs
  return create(JobSpecSchema, {
    caller: context.caller,
    submissionKey: context.submissionKey,
    deadlineInMs: Math.max(MIN_DEADLINE_MS, deadlineMs - context.waitedMs),
    idempotent: body.idempotent,
    tasks: body.tasks.map(createTaskSpec),
    traceparent: context.traceparent,
  })
}

function createTaskSpec(task: TaskBody): TaskSpec {
  return create(TaskSpecSchema, {
    service: task.service,
    payload: JSON.stringify(task.payload),
    resources: create(ResourcesSchema, {
      cores: task.cores ?? 0,
      memoryMb: task.memoryMb ?? 0,
      accelerators: task.accelerators ?? 0,
    }),
    expectedRunMs: task.expectedRunMs ?? 0,
  })
}
