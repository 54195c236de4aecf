import assert from 'node:assert/strict'
import http from 'node:http'
import net from 'node:net'
import { describe, it } from 'node:test'
import { Effect } from 'effect'
import type { HttpFailure } from './exchange'
import { exchange } from './exchange'

/** Hands out connections that never come about, as when packets are swallowed on their way. */
class SwallowingAgent extends http.Agent {
  createConnection(): net.Socket {
    return Object.assign(new net.Socket(), { connecting: true })
  }
}

function ask(agent: http.Agent, answerTimeoutMs: number): Promise<HttpFailure> {
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
  it('fails in time, and surely did not arrive', async () => {
    const failure = await ask(new SwallowingAgent(), 60_000)
    assert.equal(failure.mayHaveArrived, false)
    assert.match(failure.detail, /connection was not made/)
  })

  it('that waits for a free one surely did not arrive either', async () => {
    const agent = new SwallowingAgent({ maxSockets: 1 })
    const [, waiting] = await Promise.all([ask(agent, 60_000), ask(agent, 5)])
    assert.equal(waiting.mayHaveArrived, false)
  })
})
