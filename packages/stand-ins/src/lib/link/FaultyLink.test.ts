import assert from 'node:assert/strict'
import { once } from 'node:events'
import net from 'node:net'
import type { Socket } from 'node:net'
import { describe, it } from 'node:test'
import { setTimeout as sleep } from 'node:timers/promises'
import { Effect } from 'effect'
import type { Scope } from 'effect'
import { CutKind, LinkDirection, LinkScope, startFaultyLink } from './FaultyLink'
import type { FaultyLink, FaultyLinkOptions } from './FaultyLink'

/** Long enough for loopback to deliver what is not held back. */
const SETTLE_MS = 30

interface Fixture {
  readonly link: FaultyLink
  readonly received: () => string
  readonly open: () => Promise<EchoClient>
}

interface EchoClient {
  readonly socket: Socket
  readonly heard: () => string
  hear: (text: string) => Promise<void>
}

/** Unlike `once`, this does not reject when a reset comes before the close. */
async function closed(socket: Socket): Promise<void> {
  if (socket.closed) return
  await new Promise((resolve) => socket.once('close', resolve))
}

async function openClient(link: FaultyLink): Promise<EchoClient> {
  const { port } = new URL(`tcp://${link.address}`)
  const socket = net.connect(Number(port), '127.0.0.1')
  let text = ''
  socket.on('data', (chunk: Buffer) => {
    text += chunk.toString()
  })
  socket.on('error', () => undefined)
  await Promise.race([once(socket, 'connect').catch(() => undefined), closed(socket)])
  const hear = async (wanted: string): Promise<void> => {
    while (text !== wanted) await once(socket, 'data')
  }
  return { socket, heard: () => text, hear }
}

function withLink(
  input: Partial<FaultyLinkOptions>,
  test: (fixture: Fixture) => Promise<void>,
): Promise<void> {
  const clients: Socket[] = []
  let received = ''
  const echo = net.createServer((socket) => {
    socket.on('error', () => undefined)
    socket.on('data', (chunk: Buffer) => {
      received += chunk.toString()
      socket.write(chunk)
    })
  })
  const program: Effect.Effect<void, Error, Scope.Scope> = Effect.gen(function* () {
    yield* Effect.promise(() => once(echo.listen(0, '127.0.0.1'), 'listening'))
    const { port } = echo.address() as net.AddressInfo
    const link = yield* startFaultyLink({ target: `127.0.0.1:${port}`, ...input })
    const open = async (): Promise<EchoClient> => {
      const client = await openClient(link)
      clients.push(client.socket)
      return client
    }
    yield* Effect.promise(() => test({ link, received: () => received, open }))
  })
  return Effect.runPromise(Effect.scoped(program)).finally(() => {
    for (const socket of clients) socket.destroy()
    echo.close()
  })
}

describe('a faulty link', () => {
  it('passes bytes in order under jitter', () =>
    withLink({ delayMs: 1, jitterMs: 5 }, async ({ open }) => {
      const client = await open()
      const words = Array.from({ length: 40 }, (_, index) => `${index};`)
      for (const word of words) {
        client.socket.write(word)
        await new Promise(setImmediate)
      }
      await client.hear(words.join(''))
    }))

  it('passes closes on', () =>
    withLink({}, async ({ link, open }) => {
      const { socket } = await open()
      socket.end()
      await once(socket, 'close')
      while (link.openConnections > 0) await sleep(1)
    }))

  it('goes silent on open connections without closing them, while new ones work', () =>
    withLink({}, async ({ link, open, received }) => {
      const before = await open()
      before.socket.write('a')
      await before.hear('a')
      link.silence(LinkScope.Open)
      before.socket.write('lost')
      const after = await open()
      after.socket.write('b')
      await after.hear('b')
      await sleep(SETTLE_MS)
      assert.equal(before.heard(), 'a')
      assert.equal(received(), 'ab')
      assert.equal(before.socket.closed, false)
    }))

  it('forwards no close of a silenced connection', () =>
    withLink({}, async ({ link, open }) => {
      const { socket } = await open()
      link.silence(LinkScope.Open)
      socket.destroy()
      await sleep(SETTLE_MS)
      assert.equal(link.openConnections, 1)
    }))

  it('partitions: new connections stay silent until it heals', () =>
    withLink({}, async ({ link, open, received }) => {
      link.silence(LinkScope.All)
      const during = await open()
      during.socket.write('lost')
      await sleep(SETTLE_MS)
      assert.equal(received(), '')
      await Effect.runPromise(link.heal())
      const after = await open()
      after.socket.write('a')
      await after.hear('a')
      assert.equal(during.heard(), '')
    }))

  it('stalls: bytes of open and new connections arrive late, in order, once it heals', () =>
    withLink({ delayMs: 1 }, async ({ link, open, received }) => {
      const before = await open()
      before.socket.write('a')
      await before.hear('a')
      link.stall()
      before.socket.write('b')
      const during = await open()
      during.socket.write('c')
      await sleep(SETTLE_MS)
      before.socket.write('d')
      assert.equal(received(), 'a')
      await Effect.runPromise(link.heal())
      await before.hear('abd')
      await during.hear('c')
    }))

  it('passes a close on late when it stalled', () =>
    withLink({}, async ({ link, open: connect }) => {
      const { socket } = await connect()
      socket.write('a')
      await once(socket, 'data')
      link.stall()
      socket.destroy()
      await sleep(SETTLE_MS)
      const open = (): number => link.openConnections
      assert.equal(open(), 1)
      await Effect.runPromise(link.heal())
      while (open() > 0) await sleep(1)
    }))

  it('silences one direction alone', () =>
    withLink({}, async ({ link, open, received }) => {
      link.silence(LinkScope.All, LinkDirection.FromTarget)
      const client = await open()
      client.socket.write('a')
      while (received() !== 'a') await sleep(1)
      await sleep(SETTLE_MS)
      assert.equal(client.heard(), '')
    }))

  for (const kind of Object.values(CutKind)) {
    it(`cut with ${kind}: breaks what is open and what is new until it heals`, () =>
      withLink({}, async ({ link, open }) => {
        const before = await open()
        before.socket.write('a')
        await before.hear('a')
        link.cut(kind)
        await closed(before.socket)
        const during = await open()
        await closed(during.socket)
        await Effect.runPromise(link.heal())
        const after = await open()
        after.socket.write('b')
        await after.hear('b')
      }))
  }

  it('picks the same connections to silence for the same seed', async () => {
    const counts: number[] = []
    while (counts.length < 2) {
      await withLink({ seed: 7 }, async ({ link, open }) => {
        for (let i = 0; i < 10; i++) {
          const client = await open()
          client.socket.write('a')
          await client.hear('a')
        }
        counts.push(link.silenceSome(0.5))
      })
    }
    assert.equal(counts[0], counts[1])
  })
})
