import assert from 'node:assert/strict'
import net from 'node:net'
import { afterEach, describe, it } from 'node:test'
import { Effect } from 'effect'
import { FaultProxy } from '../fixtures/FaultProxy'
import { testTls } from '../fixtures/testTls'
import { numbered, range, TestInstance, until } from '../fixtures/TestInstance'
import type { LinkHostOptions } from './LinkHostOptions'

/** Short timeouts for tests, in the proportions of the defaults. */
const fastTuning = {
  silentAfterMs: 150,
  probeTimeoutMs: 100,
  keepAliveMs: 40,
  reconnectMinMs: 5,
  reconnectMaxMs: 60,
  staleAfterMs: 400,
  tickMs: 10,
}
const cleanups: (() => unknown)[] = []

async function start(name: string, options: Partial<LinkHostOptions> = {}): Promise<TestInstance> {
  const instance = await TestInstance.start(name, { ...fastTuning, ...options })
  cleanups.push(() => instance.close())
  return instance
}

/** Two instances; `a` dials `b` through a proxy. */
async function startPair(options: Partial<LinkHostOptions> = {}) {
  const a = await start('a', options)
  const b = await start('b')
  const proxy = await FaultProxy.start(b.host.port)
  cleanups.push(() => {
    proxy.close()
  })
  a.dial('b', proxy.port)
  return { a, b, proxy }
}

afterEach(async () => {
  for (const cleanup of cleanups.splice(0).reverse()) await cleanup()
})

describe('a link between two instances', { timeout: 30_000 }, () => {
  it('delivers messages in order and once, in few batches', async () => {
    const { a, b } = await startPair()
    assert.equal(a.sendNumbers('b', 1, 5000), 5000)
    await until('all arrived', () => b.numbers.length >= 5000)
    assert.deepEqual(b.numbers, range(1, 5000))
    await until('all receipts came', () => a.host.outstanding() === 0)
    assert.ok(a.host.counters().batchesSent < 50)
    assert.ok(a.host.roundTripMs('b') > 0)
    assert.deepEqual(a.changes, ['up b'])
  })

  it('replaces a silent connection without loss or reporting the peer as down', async () => {
    const { a, b, proxy } = await startPair()
    await until('up', () => a.host.isUp('b'))
    a.sendNumbers('b', 1, 100)
    await until('first part arrived', () => b.numbers.length === 100)
    proxy.silenceOpen()
    a.sendNumbers('b', 101, 200)
    await until('second part arrived', () => b.numbers.length >= 200)
    a.sendNumbers('b', 201, 300)
    await until('third part arrived', () => b.numbers.length >= 300)
    assert.deepEqual(b.numbers, range(1, 300))
    assert.equal(a.host.counters().silentConnections, 1)
    assert.deepEqual(a.changes, ['up b'])
  })

  it('detects an idle connection that went silent', async () => {
    const { a, proxy } = await startPair()
    await until('up', () => a.host.isUp('b'))
    proxy.silenceOpen()
    await until('replaced', () => a.logLines.includes('b: silent connection replaced'))
    assert.deepEqual(a.changes, ['up b'])
  })

  it('resends after connection resets under load, without duplicates', async () => {
    // On a busy machine, five reconnects can take longer than the `staleAfterMs` of `fastTuning`.
    const { a, b, proxy } = await startPair({ maxBatchEnvelopes: 10, staleAfterMs: 60_000 })
    await until('up', () => a.host.isUp('b'))
    for (let part = 0; part < 5; part++) {
      a.sendNumbers('b', part * 400 + 1, part * 400 + 400)
      await until('some arrived', () => b.numbers.length > part * 400 + 50)
      proxy.resetOpen()
    }
    await until('all arrived', () => b.numbers.length >= 2000)
    assert.deepEqual(b.numbers, range(1, 2000))
    assert.ok(a.host.counters().reconnects >= 1)
  })

  it('reports an unreachable peer as down, and drops stale messages', async () => {
    const { a, b, proxy } = await startPair()
    await until('up', () => a.host.isUp('b'))
    proxy.silenceNew(true)
    proxy.silenceOpen()
    a.sendNumbers('b', 1, 50)
    await until('down', () => a.changes.includes('down b'))
    await until('the old ones were dropped', () => a.host.counters().droppedStale === 50)
    a.sendNumbers('b', 51, 60)
    proxy.silenceNew(false)
    await until('new ones arrived', () => b.numbers.length >= 10)
    assert.deepEqual(b.numbers, range(51, 60))
    assert.deepEqual(a.changes, ['up b', 'down b', 'up b'])
  })

  it('does not resend what an earlier process of the peer may have received', async () => {
    const a = await start('a', { staleAfterMs: 60_000 })
    const first = await start('b')
    const proxy = await FaultProxy.start(first.host.port)
    cleanups.push(() => {
      proxy.close()
    })
    a.dial('b', proxy.port)
    await until('up', () => a.host.isUp('b'))
    // The first process receives the message, but its receipt is lost.
    proxy.silenceResponses()
    a.sendNumbers('b', 1, 1)
    await until('taken', () => first.numbers.length === 1)
    const next = await start('b', { boot: 2 })
    proxy.setTarget(next.host.port)
    proxy.resetOpen()
    await until('the next process is reached', () =>
      a.logLines.some((line) => line.includes('boot 2')),
    )
    a.sendNumbers('b', 2, 2)
    await until('the next message arrived', () => next.numbers.includes(2))
    assert.deepEqual(next.numbers, [2])
  })

  it('keeps the newest messages for a peer that is down', async () => {
    const a = await start('a', { maxQueuedEnvelopes: 10, staleAfterMs: 5000 })
    a.dial('b', 1)
    assert.equal(a.sendNumbers('b', 1, 25), 25)
    const b = await start('b')
    await until('the oldest were dropped', () => a.host.counters().dropped === 15)
    a.dial('b', b.host.port)
    a.sendNumbers('b', 26, 30)
    await until('arrived', () => b.numbers.length >= 5)
    assert.deepEqual(b.numbers, range(26, 30))
  })

  it('refuses messages beyond its queue limit while the peer is up', async () => {
    const { a, b } = await startPair({ maxQueuedEnvelopes: 100 })
    await until('up', () => a.host.isUp('b'))
    assert.equal(a.sendNumbers('b', 1, 150), 100)
    assert.equal(a.host.counters().dropped, 50)
    await until('arrived', () => b.numbers.length >= 100)
    assert.deepEqual(b.numbers, range(1, 100))
  })

  it('reconnects to a peer that restarts with a new boot number', async () => {
    const { a, b } = await startPair()
    a.sendNumbers('b', 1, 10)
    await until('arrived', () => b.numbers.length === 10 && a.host.outstanding() === 0)
    const { port } = b.host
    await b.close()
    await until('down', () => a.changes.includes('down b'))
    const next = await start('b', { boot: 2, listen: { host: '127.0.0.1', port } })
    await until('up again', () => a.host.isUp('b'))
    a.sendNumbers('b', 11, 20)
    await until('arrived', () => next.numbers.length >= 10)
    assert.deepEqual(next.numbers, range(11, 20))
  })

  it('continues its sequence numbers when a peer is removed and added again', async () => {
    const { a, b, proxy } = await startPair()
    a.sendNumbers('b', 1, 10)
    await until('arrived', () => b.numbers.length === 10)
    a.host.setPeers([])
    assert.equal(a.host.send('b', numbered(11)), false)
    a.dial('b', proxy.port)
    a.sendNumbers('b', 12, 20)
    await until('arrived', () => b.numbers.length >= 19)
    assert.deepEqual(b.numbers, [...range(1, 10), ...range(12, 20)])
  })

  it('survives link state handlers that throw', async () => {
    const fail = (): void => {
      throw new Error('defect')
    }
    const { a, b, proxy } = await startPair({ onLinkUp: fail, onLinkDown: fail })
    await until('up', () => a.host.isUp('b'))
    proxy.silenceNew(true)
    proxy.resetOpen()
    await until('down', () => !a.host.isUp('b'))
    proxy.silenceNew(false)
    a.sendNumbers('b', 1, 5)
    await until('arrived', () => b.numbers.length >= 5)
    assert.ok(a.host.counters().handlerErrors >= 3)
  })

  it('delivers messages to itself, but not before send returns', async () => {
    const a = await start('a')
    assert.equal(a.sendNumbers('a', 1, 3), 3)
    assert.deepEqual(a.numbers, [])
    await until('arrived', () => a.numbers.length === 3)
    assert.deepEqual(a.numbers, [1, 2, 3])
  })
})

describe('a link with certificates', { timeout: 30_000 }, () => {
  it('carries messages between instances with certificates of the same authority', async () => {
    const b = await start('b', { tls: testTls })
    const a = await start('a', { tls: testTls })
    a.dial('b', b.host.port)
    a.sendNumbers('b', 1, 5)
    assert.equal(await Effect.runPromise(a.host.drain(3000)), true)
    assert.deepEqual(b.numbers, range(1, 5))
  })

  it('refuses an instance without a certificate, whose drain then reports a failure', async () => {
    const b = await start('b', { tls: testTls })
    const plain = await start('c')
    plain.dial('b', b.host.port)
    plain.sendNumbers('b', 1, 5)
    assert.equal(await Effect.runPromise(plain.host.drain(100)), false)
    assert.deepEqual(b.numbers, [])
  })
})

describe('a receiver', { timeout: 30_000 }, () => {
  it('keeps the stream open when a handler throws', async () => {
    const { a, b } = await startPair()
    const record = b.onEnvelope
    b.onEnvelope = (received) => {
      record(received)
      if (b.numbers.length === 2) throw new Error('defect')
    }
    a.sendNumbers('b', 1, 5)
    await until('arrived', () => b.numbers.length >= 5)
    assert.deepEqual(b.numbers, range(1, 5))
    assert.equal(b.host.counters().handlerErrors, 1)
    assert.equal(a.host.counters().reconnects, 0)
  })

  it('refuses an older process once it has seen a newer one', async () => {
    const b = await start('b')
    const newer = await start('a', { boot: 7 })
    newer.dial('b', b.host.port)
    await until('up', () => newer.host.isUp('b'))
    const older = await start('a', { boot: 6 })
    older.dial('b', b.host.port)
    older.sendNumbers('b', 1, 5)
    await until('refused', () => b.changes.includes('stale a 6'))
    newer.sendNumbers('b', 6, 9)
    await until('arrived', () => b.numbers.length >= 4)
    assert.deepEqual(b.numbers, range(6, 9))
    assert.equal(older.host.isUp('b'), false)
  })

  const tokens = [
    { name: 'a wrong token', token: 'guess' },
    { name: 'no token', token: undefined },
  ]
  for (const { name, token } of tokens) {
    it(`refuses ${name}, and serves the others`, async () => {
      const b = await start('b', { token: 'secret' })
      const good = await start('a', { token: 'secret' })
      const bad = await start('c', token === undefined ? {} : { token })
      bad.dial('b', b.host.port)
      good.dial('b', b.host.port)
      bad.sendNumbers('b', 100, 110)
      good.sendNumbers('b', 1, 5)
      await until('refused and arrived', () => {
        return b.host.counters().refusedStreams > 0 && b.numbers.length >= 5
      })
      assert.deepEqual(b.numbers, range(1, 5))
      assert.equal(bad.host.isUp('b'), false)
    })
  }

  const garbage = [
    { name: 'bytes that are not HTTP/2', bytes: Buffer.alloc(4096, 0x5a) },
    { name: 'an HTTP/1.1 request', bytes: Buffer.from('GET / HTTP/1.1\r\n\r\n') },
  ]
  for (const { name, bytes } of garbage) {
    it(`survives ${name}`, async () => {
      const { a, b } = await startPair()
      const socket = net.connect({ host: '127.0.0.1', port: b.host.port })
      socket.on('error', () => undefined)
      const closed = new Promise((resolve) => socket.once('close', resolve))
      // Without a reader, the socket never detects that the other end closed it.
      socket.resume()
      socket.write(bytes)
      await closed
      a.sendNumbers('b', 1, 5)
      await until('arrived', () => b.numbers.length >= 5)
      assert.deepEqual(b.numbers, range(1, 5))
    })
  }

  it('gets no envelope above the size limit, but those after it', async () => {
    const { a, b } = await startPair({ maxEnvelopeBytes: 200 })
    const large = numbered(1)
    if (large.body.case === 'jobQuery') large.body.value.jobId = 'x'.repeat(300)
    assert.equal(a.host.send('b', large), false)
    a.sendNumbers('b', 2, 3)
    await until('arrived', () => b.numbers.length >= 2)
    assert.equal(a.host.counters().oversized, 1)
    assert.ok(a.logLines.some((line) => /^b: jobQuery of \d+ bytes not sent/.test(line)))
  })

  it('ends a stream with a batch above its own size limit, but no other stream', async () => {
    const b = await start('b', { maxEnvelopeBytes: 100, maxBatchBytes: 100 })
    const a = await start('a', { staleAfterMs: 100 })
    const c = await start('c')
    a.dial('b', b.host.port)
    c.dial('b', b.host.port)
    await until('both are up', () => a.host.isUp('b') && c.host.isUp('b'))
    a.sendNumbers('b', 1, 1000)
    c.sendNumbers('b', 1001, 1003)
    await until('the others arrived', () => b.numbers.length >= 3)
    await until('the batch was dropped', () => a.host.outstanding() === 0)
    a.sendNumbers('b', 1004, 1004)
    await until('later ones arrived', () => b.numbers.length >= 4)
    assert.deepEqual(b.numbers, range(1001, 1004))
  })
})
