import assert from 'node:assert/strict'
import { once } from 'node:events'
import http from 'node:http'
import type { AddressInfo, Socket } from 'node:net'
import { describe, it } from 'node:test'
import { Effect } from 'effect'
import { HttpFailureKind, requestJson } from './requestJson'

async function withServer(
  handle: http.RequestListener,
  test: (address: string, agent: http.Agent) => Promise<void>,
): Promise<void> {
  const server = http.createServer(handle)
  await once(server.listen(0, '127.0.0.1'), 'listening')
  const agent = new http.Agent({ keepAlive: true })
  try {
    await test(`127.0.0.1:${(server.address() as AddressInfo).port}`, agent)
  } finally {
    agent.destroy()
    server.closeAllConnections()
    server.close()
  }
}

function failureOf(address: string, agent: http.Agent): Promise<HttpFailureKind> {
  const request = requestJson({ method: 'GET', address, path: '/', timeoutMs: 5000, agent })
  return Effect.runPromise(Effect.map(Effect.flip(request), ({ kind }) => kind))
}

describe('a JSON request', () => {
  it('leaves nothing behind on a connection that is kept', () =>
    withServer(
      (_req, res) => {
        res.end('{}')
      },
      async (address, agent) => {
        const request = requestJson({ method: 'GET', address, path: '/', timeoutMs: 5000, agent })
        const listeners = new Set<number>()
        agent.on('free', (socket: Socket) => {
          listeners.add(socket.listenerCount('connect'))
        })
        for (let i = 0; i < 20; i++) await Effect.runPromise(request)
        assert.equal(listeners.size, 1)
      },
    ))

  it('tells a connection that was refused from one that broke', () =>
    withServer(
      (req) => {
        req.socket.destroy()
      },
      async (address, agent) => {
        assert.equal(await failureOf(address, agent), HttpFailureKind.Broken)
        assert.equal(await failureOf('127.0.0.1:1', agent), HttpFailureKind.NotConnected)
      },
    ))

  it('is broken when the answer ends before its length', () =>
    withServer(
      (_req, res) => {
        res.writeHead(200, { 'content-length': 100 })
        res.write('{"partial":')
        setTimeout(() => res.destroy(), 20)
      },
      async (address, agent) => {
        assert.equal(await failureOf(address, agent), HttpFailureKind.Broken)
      },
    ))
})
