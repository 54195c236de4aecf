import { create } from '@bufbuild/protobuf'
import type { JobSpec, TaskSpec } from '@cherryhitch/protocol'
import { JobSpecSchema, ResourcesSchema, TaskSpecSchema } from '@cherryhitch/protocol'
import type { JobBody, TaskBody } from './jobBody'

/** What a job gets from elsewhere than its body. @internal */
export interface JobContext {
  readonly caller: string
  readonly submissionKey: string
  readonly traceparent: string
  /** Deadline when the body states none, in milliseconds. */
  readonly defaultDeadlineMs: number
  /** How long the request has been here already, in milliseconds. */
  readonly waitedMs: number
}

/** A deadline that has passed is passed on as this: 0 could be read as none. */
const SHORTEST_DEADLINE_MS = 1

/** Makes the message of a job from its checked body. @internal */
export function createJobSpec(body: JobBody, context: JobContext): JobSpec {
  const deadlineMs = body.deadlineMs ?? context.defaultDeadlineMs
  return create(JobSpecSchema, {
    caller: context.caller,
    submissionKey: context.submissionKey,
    deadlineInMs: Math.max(SHORTEST_DEADLINE_MS, deadlineMs - context.waitedMs),
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
