import type { SpanRecord } from '@cherryhitch/model'
import { SpanKind, SpanStatusCode, TraceFlags } from '@opentelemetry/api'
import type { HrTime, SpanContext } from '@opentelemetry/api'
import type { Resource } from '@opentelemetry/resources'
import type { ReadableSpan } from '@opentelemetry/sdk-trace-base'

const MS_PER_SECOND = 1000
const NS_PER_MS = 1_000_000

/** Converts a span record to the type that the exporter takes. @internal */
export function toReadableSpan(span: SpanRecord, resource: Resource): ReadableSpan {
  const { traceId, parentSpanId } = span
  const parent = parentSpanId === '' ? {} : { parentSpanContext: contextOf(traceId, parentSpanId) }
  return {
    name: span.name,
    kind: SpanKind.INTERNAL,
    spanContext: () => contextOf(traceId, span.spanId),
    ...parent,
    startTime: toHrTime(span.startMs),
    endTime: toHrTime(span.endMs),
    duration: toHrTime(Math.max(0, span.endMs - span.startMs)),
    status: { code: span.ok ? SpanStatusCode.OK : SpanStatusCode.ERROR },
    attributes: { ...span.attributes },
    links: [],
    events: [],
    ended: true,
    resource,
    instrumentationScope: { name: 'cherryhitch' },
    droppedAttributesCount: 0,
    droppedEventsCount: 0,
    droppedLinksCount: 0,
  }
}

function contextOf(traceId: string, spanId: string): SpanContext {
  return { traceId, spanId, traceFlags: TraceFlags.SAMPLED }
}

/** Converts milliseconds to a pair of seconds and nanoseconds. */
function toHrTime(ms: number): HrTime {
  const seconds = Math.floor(ms / MS_PER_SECOND)
  return [seconds, Math.round((ms - seconds * MS_PER_SECOND) * NS_PER_MS)]
}
