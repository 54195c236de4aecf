import assert from 'node:assert/strict'
import http from 'node:http'
import net from 'node:net'
import { describe, it } from 'node:test'
import { range, TestInstance, until } from '../fixtures/TestInstance'

const REFUSAL = 'HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\n\r\n'

/** Servers that may listen on a peer's port but do not speak HTTP/2. */
const nonHttp2Servers: readonly { readonly name: string; readonly make: () => net.Server }[] = [
  { name: 'an HTTP/1.1 server', make: () => http.createServer((_req, res) => res.end('hello')) },
  {
    name: 'an immediate error response',
    make: () => net.createServer((socket) => socket.on('error', () => undefined).write(REFUSAL)),
  },
  {
    name: 'an immediate error response that closes the connection',
    make: () => net.createServer((socket) => socket.on('error', () => undefined).end(REFUSAL)),
  },
  {
    name: 'an error response to the first bytes',
    make: () =>
      net.createServer((socket) => {
        socket.on('error', () => undefined)
        socket.once('data', () => socket.write(REFUSAL))
      }),
  },
]

async function listen(server: net.Server): Promise<number> {
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve))
  const address = server.address()
  if (address === null || typeof address === 'string') throw new Error('no port')
  return address.port
}

describe('LinkSession', { timeout: 30_000 }, () => {
  for (const { name, make } of nonHttp2Servers) {
    it(`survives ${name} on a peer's port, and connects once the peer listens there`, async () => {
      const fastTuning = { probeTimeoutMs: 100, reconnectMinMs: 5, reconnectMaxMs: 30, tickMs: 10 }
      const a = await TestInstance.start('a', fastTuning)
      const b = await TestInstance.start('b', fastTuning)
      const otherServer = make()
      const port = await listen(otherServer)
      a.dial('b', port)
      await until('dialled several times', () => a.host.counters().reconnects >= 3)
      a.dial('b', b.host.port)
      await until('up', () => a.host.isUp('b'))
      a.sendNumbers('b', 1, 5)
      await until('arrived', () => b.numbers.length >= 5)
      assert.deepEqual(b.numbers, range(1, 5))
      await a.close()
      await b.close()
      otherServer.close()
    })
  }
})
