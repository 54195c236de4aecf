import type { SpanRecord } from '@cherryhitch/model'
import { OTLPTraceExporter } from '@opentelemetry/exporter-trace-otlp-http'
import { resourceFromAttributes } from '@opentelemetry/resources'
import { Effect } from 'effect'
import type { TracerOptions } from './TracerOptions'
import { toReadableSpan } from './toReadableSpan'

/** `ExportResultCode.SUCCESS`; its package is not a direct dependency. */
const EXPORT_SUCCEEDED = 0

/** The `TracerOptions` that the sender uses. */
export type OtlpSenderOptions = Required<
  Pick<
    TracerOptions,
    'instance' | 'zone' | 'otlpUrl' | 'maxQueuedSpans' | 'maxBatchSpans' | 'exportTimeoutMs'
  >
>

/**
 * Queues spans and exports them to the collector, one request at a time. While the collector is
 * slow or unreachable the queue fills up; once it is full, new spans are dropped and counted.
 *
 * @internal
 */
export class OtlpSender {
  readonly #exporter: OTLPTraceExporter
  readonly #resource
  #queue: SpanRecord[] = []
  #dropped = 0
  #exported = 0
  #failed = 0

  constructor(private readonly options: OtlpSenderOptions) {
    const { instance, zone, otlpUrl, exportTimeoutMs } = options
    this.#exporter = new OTLPTraceExporter({ url: otlpUrl, timeoutMillis: exportTimeoutMs })
    this.#resource = resourceFromAttributes({
      'service.name': 'cherryhitch',
      'service.instance.id': instance,
      'cloud.availability_zone': zone,
    })
  }

  add(span: SpanRecord): void {
    if (this.#queue.length >= this.options.maxQueuedSpans) this.#dropped += 1
    else this.#queue.push(span)
  }

  counters(): Readonly<Record<'exported' | 'exportsFailed' | 'dropped' | 'queueSize', number>> {
    return {
      exported: this.#exported,
      exportsFailed: this.#failed,
      dropped: this.#dropped,
      queueSize: this.#queue.length,
    }
  }

  /** Exports until the queue is empty. A batch whose export fails is dropped. */
  readonly sendAll: Effect.Effect<void> = Effect.gen({ self: this }, function* () {
    while (this.#queue.length > 0) {
      const batch = this.#queue.splice(0, this.options.maxBatchSpans)
      const isExported = yield* this.#export(batch)
      if (isExported) this.#exported += batch.length
      else {
        this.#failed += 1
        this.#dropped += batch.length
      }
    }
  })

  readonly close: Effect.Effect<void> = Effect.promise(() => this.#exporter.shutdown())

  #export(batch: readonly SpanRecord[]): Effect.Effect<boolean> {
    const spans = batch.map((span) => toReadableSpan(span, this.#resource))
    return Effect.callback((resume) => {
      this.#exporter.export(spans, (result) => {
        const code: number = result.code
        resume(Effect.succeed(code === EXPORT_SUCCEEDED))
      })
    })
  }
}
