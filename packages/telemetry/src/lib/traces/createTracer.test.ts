import assert from 'node:assert/strict'
import fs from 'node:fs'
import http from 'node:http'
import type { AddressInfo } from 'node:net'
import os from 'node:os'
import path from 'node:path'
import { after, describe, it } from 'node:test'
import type { SpanRecord } from '@cherryhitch/model'
import { Effect } from 'effect'
import { createTracer } from './createTracer'
import type { Tracer } from './Tracer'
import type { TracerOptions } from './TracerOptions'

const folder = fs.mkdtempSync(path.join(os.tmpdir(), 'cherryhitch-spans-'))
after(() => {
  fs.rmSync(folder, { recursive: true })
})

const traceId = '0af7651916cd43dd8448eb211c80319c'

function spanOf(index: number, parent = 0): SpanRecord {
  const hex = (n: number): string => n.toString(16).padStart(16, '0')
  return {
    name: `hop ${index}`,
    traceId,
    spanId: hex(index),
    parentSpanId: parent === 0 ? '' : hex(parent),
    startMs: 1_700_000_000_000 + index * 10.5,
    endMs: 1_700_000_000_004 + index * 10.5,
    ok: index !== 3,
    attributes: { endpoint: 'e1', attempt: index, cached: false },
  }
}

interface OtlpSpan {
  readonly traceId: string
  readonly spanId: string
  readonly parentSpanId?: string
  readonly startTimeUnixNano: string
  readonly status: { readonly code: number }
}

/** Starts a fake collector that responds with the given status, or never if undefined. */
async function startCollector(status: number | undefined) {
  const spans: OtlpSpan[] = []
  const server = http.createServer((req, res) => {
    const chunks: Buffer[] = []
    req.on('data', (chunk: Buffer) => chunks.push(chunk))
    req.on('end', () => {
      const body = JSON.parse(Buffer.concat(chunks).toString()) as {
        resourceSpans: { scopeSpans: { spans: OtlpSpan[] }[] }[]
      }
      const scopes = body.resourceSpans.flatMap(({ scopeSpans }) => scopeSpans)
      spans.push(...scopes.flatMap((scope) => scope.spans))
      if (status !== undefined) res.writeHead(status).end('{}')
    })
  })
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve))
  const { port } = server.address() as AddressInfo
  const close = (): void => {
    server.close()
    server.closeAllConnections()
  }
  return { spans, url: `http://127.0.0.1:${port}/v1/traces`, close }
}

/** Runs `use` with a new tracer and returns its counters after it was closed. */
async function withTracer(
  options: Partial<TracerOptions>,
  use: (tracer: Tracer) => Promise<void> | void,
) {
  const program = Effect.gen(function* () {
    const tracer = yield* createTracer({ instance: 'i1', ...options })
    yield* Effect.promise(async () => use(tracer))
    return tracer
  })
  return (await Effect.runPromise(Effect.scoped(program))).counters()
}

describe('createTracer', () => {
  it('exports the spans of a trace to the collector with their parents', async () => {
    const collector = await startCollector(200)
    const counters = await withTracer({ otlpUrl: collector.url }, (tracer) => {
      tracer.record(spanOf(1))
      tracer.record(spanOf(2, 1))
      tracer.record(spanOf(3, 2))
    })
    collector.close()
    const links = collector.spans.map(({ spanId, parentSpanId }) => [spanId, parentSpanId ?? ''])
    const expected = [spanOf(1), spanOf(2, 1), spanOf(3, 2)]
    assert.deepEqual(
      links,
      expected.map(({ spanId, parentSpanId }) => [spanId, parentSpanId]),
    )
    assert.ok(collector.spans.every((span) => span.traceId === traceId))
    assert.equal(collector.spans[0]?.startTimeUnixNano, '1700000000010500000')
    assert.deepEqual(
      collector.spans.map(({ status }) => status.code),
      [1, 1, 2],
    )
    assert.equal(counters.exported, 3)
  })

  it('appends spans to a file as lines of JSON', async () => {
    const file = path.join(folder, 'spans.jsonl')
    for (const index of [1, 2]) {
      await withTracer({ file }, (tracer) => {
        tracer.record(spanOf(index))
      })
    }
    const lines = fs.readFileSync(file, 'utf8').trimEnd().split('\n')
    assert.deepEqual(
      lines.map((line) => JSON.parse(line) as SpanRecord),
      [spanOf(1), spanOf(2)],
    )
  })

  const faults = [
    { name: 'refuses', status: 400 },
    { name: 'never answers', status: undefined },
  ]
  for (const { name, status } of faults) {
    it(`closes in time and counts its losses when the collector ${name}`, async () => {
      const collector = await startCollector(status)
      const limits = { maxQueuedSpans: 10, maxBatchSpans: 5, flushMs: 5, closeLimitMs: 100 }
      const options = { ...limits, exportTimeoutMs: 50, otlpUrl: collector.url }
      const counters = await withTracer(options, (tracer) => {
        for (let index = 1; index <= 25; index++) tracer.record(spanOf(index))
      })
      collector.close()
      assert.equal(counters.recorded, 25)
      assert.equal(counters.exported, 0)
      assert.ok((counters.dropped ?? 0) >= 15)
    })
  }

  it('samples whole traces at about the requested ratio', async () => {
    const file = path.join(folder, 'sampled.jsonl')
    const counters = await withTracer({ file, sampleRatio: 0.25 }, (tracer) => {
      for (let n = 0; n < 1000; n++) {
        const id = (Math.imul(n + 1, 0x9e3779b1) >>> 0).toString(16).padStart(32, '1')
        tracer.record({ ...spanOf(1), traceId: id })
        tracer.record({ ...spanOf(2, 1), traceId: id })
      }
    })
    const recorded = counters.recorded ?? 0
    assert.equal(recorded % 2, 0)
    assert.ok(recorded > 400 && recorded < 600, `${recorded} of 2000`)
    assert.equal(recorded + (counters.notSampled ?? 0), 2000)
  })

  it('drops spans with malformed ids', async () => {
    const counters = await withTracer({}, (tracer) => {
      tracer.record({ ...spanOf(1), traceId: 'abc' })
      tracer.record({ ...spanOf(1), spanId: '0'.repeat(16) })
    })
    assert.equal(counters.malformed, 2)
  })

  it('fails with a typed error when its file cannot be opened', async () => {
    const file = path.join(folder, 'missing', 'spans.jsonl')
    await assert.rejects(
      withTracer({ file }, () => undefined),
      { name: 'TelemetryError', kind: 'file' },
    )
  })
})
