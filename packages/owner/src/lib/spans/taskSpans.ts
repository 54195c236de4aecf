import type { SpanRecord, Traceparent } from '@cherryhitch/model'
import { deriveSpanId } from '@cherryhitch/model'
import type { TaskRecord } from '../tasks/TaskRecord'

const SAMPLED = '01'

/** Span id of a task's run at an endpoint; the endpoint's own spans are its children. */
function runSpanId(task: TaskRecord): string {
  task.runSpanId ??= deriveSpanId(`${task.taskId}/run/${task.attempt}/${task.retries}`)
  return task.runSpanId
}

/** W3C trace context for the endpoint; empty if the job has none. @internal */
export function runTraceparent(task: TaskRecord): string {
  const trace = task.job.trace
  return trace === undefined ? '' : `00-${trace.traceId}-${runSpanId(task)}-${SAMPLED}`
}

/** The span of the wait in the queue, from enqueueing to dispatch. @internal */
export function queueSpan(now: number, task: TaskRecord): SpanRecord | undefined {
  const trace = task.job.trace
  if (trace === undefined) return undefined
  const seed = `${task.taskId}/queue/${task.attempt}/${task.retries}`
  return span(trace, 'owner.queue', deriveSpanId(seed), task, task.enqueuedAt, now, true)
}

/** The span of the run, from dispatch until its result is no longer awaited. @internal */
export function runSpan(now: number, task: TaskRecord, ok: boolean): SpanRecord | undefined {
  const trace = task.job.trace
  if (trace === undefined) return undefined
  return span(trace, 'owner.run', runSpanId(task), task, task.dispatchedAt, now, ok)
}

function span(
  trace: Traceparent,
  name: string,
  spanId: string,
  task: TaskRecord,
  startMs: number,
  endMs: number,
  ok: boolean,
): SpanRecord {
  return {
    name,
    traceId: trace.traceId,
    spanId,
    parentSpanId: trace.spanId,
    startMs,
    endMs,
    ok,
    attributes: {
      task: task.taskId,
      service: task.service,
      endpoint: task.endpoint?.endpoint ?? '',
    },
  }
}
