import assert from 'node:assert/strict'
import http from 'node:http'
import net from 'node:net'
import { describe, it } from 'node:test'
import { Effect } from 'effect'
import type { HttpFailure } from './exchange'
import { exchange } from './exchange'

/** Returns sockets that never connect, as when the network drops all packets. */
class UnconnectedAgent extends http.Agent {
  createConnection(): net.Socket {
    return Object.assign(new net.Socket(), { connecting: true })
  }
}

function failRequest(agent: http.Agent, answerTimeoutMs: number): Promise<HttpFailure> {
  const request = exchange({
    method: 'PUT',
    address: '127.0.0.1:9',
    path: '/v1/tasks/a.1.1.0',
    headers: {},
    body: '{}',
    agent,
    connectTimeoutMs: 20,
    answerTimeoutMs,
    maxAnswerBytes: 100,
  })
  return Effect.runPromise(Effect.flip(request))
}

describe('a request without a connection', () => {
  it('fails within the connect timeout and cannot have arrived', async () => {
    const failure = await failRequest(new UnconnectedAgent(), 60_000)
    assert.equal(failure.mayHaveArrived, false)
    assert.match(failure.detail, /connection was not made/)
  })

  it('cannot have arrived when it timed out waiting for a free socket', async () => {
    const agent = new UnconnectedAgent({ maxSockets: 1 })
    const [, waiting] = await Promise.all([failRequest(agent, 60_000), failRequest(agent, 5)])
    assert.equal(waiting.mayHaveArrived, false)
  })
})
