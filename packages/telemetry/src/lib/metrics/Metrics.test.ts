import assert from 'node:assert/strict'
import { afterEach, describe, it } from 'node:test'
import { createMetrics } from './Metrics'
import type { Metrics } from './Metrics'
import { metricName } from './metricName'

const opened: Metrics[] = []

function open(): Metrics {
  const metrics = createMetrics({ instance: 'i1', zone: 'z1' })
  opened.push(metrics)
  return metrics
}

afterEach(() => {
  for (const metrics of opened.splice(0)) metrics.close()
})

/** Values follow Go's ParseFloat, which accepts NaN in any case. */
const linePattern = /^([a-z_][a-z0-9_]*)(\{[^{}]*\})? (nan|[+-]?inf|[0-9.e+-]+)$/i

/** Parses the text format into a map from each metric name to the value of its last line. */
async function scrape(metrics: Metrics): Promise<Map<string, number>> {
  const { body, contentType } = await metrics.render()
  assert.match(contentType, /^text\/plain/)
  const values = new Map<string, number>()
  for (const line of body.split('\n').filter((text) => text !== '' && !text.startsWith('#'))) {
    const found = linePattern.exec(line)
    assert.ok(found, line)
    assert.match(found[2] ?? '', /instance="i1"/)
    assert.match(found[2] ?? '', /zone="z1"/)
    values.set(found[1] ?? '', Number(found[3]))
  }
  return values
}

describe('Metrics', () => {
  it('exposes current values at each scrape, including keys added later', async () => {
    const metrics = open()
    const numbers: Record<string, number> = { batchesSent: 3, queueSize: 7 }
    metrics.registerCounters('links', 'Links between instances.', () => numbers)
    await scrape(metrics)
    Object.assign(numbers, { batchesSent: 5, queueSize: 2, dropped: 1 })
    const values = await scrape(metrics)
    assert.equal(values.get('cherryhitch_links_batches_sent_total'), 5)
    assert.equal(values.get('cherryhitch_links_queue_size'), 2)
    assert.equal(values.get('cherryhitch_links_dropped_total'), 1)
    assert.ok(values.has('process_cpu_seconds_total'))
  })

  it('exposes the other parts when one cannot be read', async () => {
    const metrics = open()
    metrics.registerCounters('owner', 'Owner.', () => {
      throw new Error('defect')
    })
    metrics.registerCounters('links', 'Links.', () => ({ sent: 1 }))
    const values = await scrape(metrics)
    assert.equal(values.get('cherryhitch_links_sent_total'), 1)
    assert.equal(values.get('cherryhitch_metrics_failed_reads_total'), 1)
  })

  it('exposes the sum and count of a histogram', async () => {
    const metrics = open()
    const waits = metrics.histogram('queue_wait_ms', 'Wait in the queue.', [1, 10], ['service'])
    for (const value of [0.5, 5, 50]) waits.observe(value, { service: 's1' })
    const values = await scrape(metrics)
    assert.equal(values.get('cherryhitch_queue_wait_ms_count'), 3)
    assert.equal(values.get('cherryhitch_queue_wait_ms_sum'), 55.5)
  })

  it('uses a separate registry for each Metrics object', async () => {
    const first = open()
    const second = open()
    first.registerCounters('links', 'Links.', () => ({ sent: 1 }))
    await scrape(first)
    assert.equal((await scrape(second)).has('cherryhitch_links_sent_total'), false)
  })
})

describe('metricName', () => {
  const names = [
    ['links', 'batchesSent', 'cherryhitch_links_batches_sent_total'],
    ['control', 'currentTerm', 'cherryhitch_control_current_term'],
    ['http-api', 'openStreamsNow', 'cherryhitch_http_api_open_streams_now'],
    ['owner', 'isDraining', 'cherryhitch_owner_is_draining'],
    ['owner', 'issued', 'cherryhitch_owner_issued_total'],
  ] as const
  for (const [part, key, expected] of names) {
    it(`names ${key} of ${part}`, () => {
      assert.equal(metricName(part, key), expected)
    })
  }
})
