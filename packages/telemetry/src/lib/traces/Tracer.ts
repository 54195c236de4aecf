import type { SpanRecord } from '@cherryhitch/model'
import { isSpanContextValid, TraceFlags } from '@opentelemetry/api'
import type { LineWriter } from '../files/LineWriter'
import { isSampled } from './isSampled'
import type { OtlpSender } from './OtlpSender'

/** Records finished spans; created by `createTracer`. @public */
export class Tracer {
  #recorded = 0
  #notSampled = 0
  #malformed = 0

  /** @internal */
  constructor(
    private readonly sampleRatio: number,
    private readonly output: LineWriter | undefined,
    private readonly sender: OtlpSender | undefined,
  ) {}

  /** Queues a span without blocking. Spans with malformed ids are counted and dropped. */
  record(span: SpanRecord): void {
    const { traceId, spanId } = span
    if (!isSpanContextValid({ traceId, spanId, traceFlags: TraceFlags.SAMPLED })) {
      this.#malformed += 1
      return
    }
    if (!isSampled(traceId, this.sampleRatio)) {
      this.#notSampled += 1
      return
    }
    this.#recorded += 1
    this.output?.write(`${JSON.stringify(span)}\n`)
    this.sender?.add(span)
  }

  /** Counters for `Metrics.registerCounters`. */
  counters(): Readonly<Record<string, number>> {
    return {
      recorded: this.#recorded,
      notSampled: this.#notSampled,
      malformed: this.#malformed,
      linesDropped: this.output?.dropped ?? 0,
      ...this.sender?.counters(),
    }
  }
}
