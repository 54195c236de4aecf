import { parseTraceparent } from '@cherryhitch/model'
import type { SpanRecord } from '@cherryhitch/model'
import type { Job } from './Job'
import type { Placement } from './Placement'

/** Span of a whole job at its coordinator. @internal */
export function jobSpan(job: Job, now: number, ok: boolean): SpanRecord {
  const own = parseTraceparent(job.traceparent)
  const parent = parseTraceparent(job.spec.traceparent)
  return {
    name: 'coordinator.job',
    traceId: own?.traceId ?? '',
    spanId: own?.spanId ?? '',
    parentSpanId: parent?.spanId ?? '',
    startMs: job.startedAt,
    endMs: now,
    ok,
    attributes: { job: job.id, caller: job.caller, tasks: job.tasks.length },
  }
}

/** Span of one placement, from sending its tasks to the last report on them. @internal */
export function placementSpan(job: Job, placement: Placement, now: number): SpanRecord {
  const parent = parseTraceparent(job.traceparent)
  return {
    name: 'coordinator.place',
    traceId: parent?.traceId ?? '',
    spanId: placement.spanId,
    parentSpanId: parent?.spanId ?? '',
    startMs: placement.placedAt,
    endMs: now,
    ok: placement.ok,
    attributes: { job: job.id, owner: placement.owner },
  }
}
