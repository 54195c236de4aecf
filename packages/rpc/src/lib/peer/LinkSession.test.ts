import assert from 'node:assert/strict'
import http from 'node:http'
import net from 'node:net'
import { describe, it } from 'node:test'
import { range, TestInstance, until } from '../fixtures/TestInstance'

const REFUSAL = 'HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\n\r\n'

/** Programs that may stand at a peer's port and do not speak HTTP/2. */
const strangers: readonly { readonly name: string; readonly make: () => net.Server }[] = [
  { name: 'an HTTP/1.1 server', make: () => http.createServer((_req, res) => res.end('hello')) },
  {
    name: 'a refusal at once',
    make: () => net.createServer((socket) => socket.on('error', () => undefined).write(REFUSAL)),
  },
  {
    name: 'a refusal at once that closes',
    make: () => net.createServer((socket) => socket.on('error', () => undefined).end(REFUSAL)),
  },
  {
    name: 'a refusal of the first bytes',
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
  for (const { name, make } of strangers) {
    it(`survives ${name} at a peer's port, and links up once the peer is there`, async () => {
      const quick = { probeTimeoutMs: 100, reconnectMinMs: 5, reconnectMaxMs: 30, tickMs: 10 }
      const a = await TestInstance.start('a', quick)
      const b = await TestInstance.start('b', quick)
      const stranger = make()
      const port = await listen(stranger)
      a.dial('b', port)
      await until('dialled several times', () => a.host.counters().reconnects >= 3)
      a.dial('b', b.host.port)
      await until('up', () => a.host.isUp('b'))
      a.sendNumbers('b', 1, 5)
      await until('arrived', () => b.numbers.length >= 5)
      assert.deepEqual(b.numbers, range(1, 5))
      await a.close()
      await b.close()
      stranger.close()
    })
  }
})
