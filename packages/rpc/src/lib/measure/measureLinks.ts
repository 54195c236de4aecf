/**
 * Measures links on loopback, with both ends in this process:
 * `npx tsx packages/rpc/src/lib/measure/measureLinks.ts`
 */
import { envelope } from '@cherryhitch/protocol'
import type { Envelope } from '@cherryhitch/protocol'
import { FaultProxy } from '../fixtures/FaultProxy'
import { TestInstance, until } from '../fixtures/TestInstance'
import { startSharedStreamTransport, startUnaryTransport } from './alternativeTransports'
import type { MessageTransport } from './alternativeTransports'

const ROUND_TRIPS = 20_000
const WARM_UP = 2000
const ONE_WAY = 200_000
const CHUNK = 64
const SILENCE_TRIALS = 10
const US_PER_MS = 1000
const PAYLOAD = 'x'.repeat(200)

/** A typical envelope: the report of one task with 200 bytes of output. */
function reportFor(id: string): Envelope {
  const jobs = [{ jobId: id, reports: [{ output: PAYLOAD }] }]
  return envelope({ case: 'taskReports', value: { jobs } })
}

function idOf(message: Envelope): string {
  return message.body.case === 'taskReports' ? (message.body.value.jobs[0]?.jobId ?? '') : ''
}

/** Uses links: a stream in each direction, with receipts, sequences and limits. */
async function startLinkTransport(): Promise<MessageTransport> {
  const a = await TestInstance.start('a', { log: () => undefined })
  const b = await TestInstance.start('b', { log: () => undefined })
  const pending = new Map<string, () => void>()
  b.onEnvelope = (message) => b.host.send('a', message)
  a.onEnvelope = (message) => pending.get(idOf(message))?.()
  a.dial('b', b.host.port)
  b.dial('a', a.host.port)
  await until('both are up', () => a.host.isUp('b') && b.host.isUp('a'))
  return {
    name: 'one stream each way (links)',
    request: (id, message) =>
      new Promise((resolve) => {
        pending.set(id, () => {
          pending.delete(id)
          resolve()
        })
        a.host.send('b', message)
      }),
    close: async () => {
      await a.close()
      await b.close()
    },
  }
}

async function runRoundTrips(
  transport: MessageTransport,
  total: number,
  inFlight: number,
): Promise<number[]> {
  const times: number[] = []
  let next = 0
  const runOne = async (): Promise<void> => {
    while (next < total) {
      const id = String(next++)
      const startedAt = performance.now()
      await transport.request(id, reportFor(id))
      times.push(performance.now() - startedAt)
    }
  }
  await Promise.all(Array.from({ length: inFlight }, runOne))
  return times.sort((x, y) => x - y)
}

function quantile(sorted: readonly number[], q: number): string {
  return (sorted[Math.floor(sorted.length * q)] ?? NaN).toFixed(2)
}

async function measureRoundTrips(start: () => Promise<MessageTransport>): Promise<void> {
  const transport = await start()
  await runRoundTrips(transport, WARM_UP, 32)
  for (const inFlight of [1, 32]) {
    const total = inFlight === 1 ? ROUND_TRIPS / 4 : ROUND_TRIPS
    const cpu = process.cpuUsage()
    const startedAt = performance.now()
    const times = await runRoundTrips(transport, total, inFlight)
    const seconds = (performance.now() - startedAt) / 1000
    const { user, system } = process.cpuUsage(cpu)
    console.log(
      `${transport.name}, ${inFlight} in flight: ${Math.round(total / seconds)} round trips/s, ` +
        `${((user + system) / total).toFixed(0)} us cpu each, ` +
        `p50 ${quantile(times, 0.5)} ms, p99 ${quantile(times, 0.99)} ms`,
    )
  }
  await transport.close()
}

/** Sends in chunks, as fast as the queue accepts them. */
async function measureOneWay(maxBatchesInFlight: number): Promise<void> {
  const a = await TestInstance.start('a', { maxBatchesInFlight })
  const b = await TestInstance.start('b')
  let arrived = 0
  b.onEnvelope = () => {
    arrived += 1
  }
  a.dial('b', b.host.port)
  await until('up', () => a.host.isUp('b'))
  const cpu = process.cpuUsage()
  const startedAt = performance.now()
  for (let n = 0; n < ONE_WAY; n += CHUNK) {
    for (let i = 0; i < CHUNK; i++) a.host.send('b', reportFor(String(n + i)))
    while (a.host.outstanding() > 2000) await new Promise(setImmediate)
  }
  await until('all arrived', () => arrived >= ONE_WAY)
  const ms = performance.now() - startedAt
  const { user, system } = process.cpuUsage(cpu)
  const { batchesSent } = a.host.counters()
  console.log(
    `one way, window ${maxBatchesInFlight}: ${Math.round((ONE_WAY / ms) * 1000)} envelopes/s, ` +
      `${((user + system) / ONE_WAY).toFixed(1)} us cpu each, ` +
      `${(ONE_WAY / batchesSent).toFixed(0)} a batch`,
  )
  await a.close()
  await b.close()
}

async function measureReceipts(): Promise<void> {
  const a = await TestInstance.start('a')
  const b = await TestInstance.start('b')
  a.dial('b', b.host.port)
  await until('up', () => a.host.isUp('b'))
  const times: number[] = []
  for (let n = 0; n < WARM_UP; n++) {
    const startedAt = performance.now()
    a.host.send('b', reportFor(String(n)))
    while (a.host.outstanding() > 0) await new Promise(setImmediate)
    times.push(performance.now() - startedAt)
  }
  times.sort((x, y) => x - y)
  console.log(`receipt, idle: p50 ${quantile(times, 0.5)} ms, p99 ${quantile(times, 0.99)} ms`)
  await a.close()
  await b.close()
}

/** Measures the time from silence to the replaced connection, or to the report of a lost peer. */
async function measureSilence(isPeerLost: boolean): Promise<void> {
  const times: number[] = []
  for (let trial = 0; trial < SILENCE_TRIALS; trial++) {
    const a = await TestInstance.start('a')
    const b = await TestInstance.start('b')
    const proxy = await FaultProxy.start(b.host.port)
    a.dial('b', proxy.port)
    await until('up', () => a.host.isUp('b'))
    await new Promise((resolve) => setTimeout(resolve, trial * 37))
    const startedAt = performance.now()
    proxy.silenceNew(isPeerLost)
    proxy.silenceOpen()
    const isDetected = isPeerLost
      ? () => a.changes.includes('down b')
      : () => a.logLines.includes('b: silent connection replaced')
    await until('found', isDetected)
    times.push(performance.now() - startedAt)
    proxy.close()
    await a.close()
    await b.close()
  }
  times.sort((x, y) => x - y)
  const label = isPeerLost ? 'peer reported as down' : 'connection replaced'
  console.log(`${label}: p50 ${quantile(times, 0.5)} ms, worst ${quantile(times, 0.999)} ms`)
}

/** Measures the heap after long use: a stream must not retain the messages it has carried. */
async function measureHeap(): Promise<void> {
  const transport = await startLinkTransport()
  await runRoundTrips(transport, ROUND_TRIPS, 32)
  const heaps: string[] = []
  for (let round = 0; round < 4; round++) {
    await runRoundTrips(transport, ROUND_TRIPS * 2, 4)
    globalThis.gc?.()
    heaps.push((process.memoryUsage().heapUsed / 2 ** 20).toFixed(1))
  }
  console.log(`heap after each ${ROUND_TRIPS * 2} round trips: ${heaps.join(', ')} MB`)
  await transport.close()
}

const startedCpu = process.cpuUsage()
await measureRoundTrips(startUnaryTransport)
await measureRoundTrips(startSharedStreamTransport)
await measureRoundTrips(startLinkTransport)
await measureReceipts()
for (const window of [1, 2, 4, 16]) await measureOneWay(window)
await measureHeap()
await measureSilence(false)
await measureSilence(true)
const spent = process.cpuUsage(startedCpu)
console.log(`cpu of the whole run: ${Math.round((spent.user + spent.system) / US_PER_MS)} ms`)
