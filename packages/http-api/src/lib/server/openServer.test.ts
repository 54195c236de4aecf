import assert from 'node:assert/strict'
import https from 'node:https'
import net from 'node:net'
import path from 'node:path'
import { describe, it } from 'node:test'
import { Effect } from 'effect'
import {
  eventually,
  exchangeRaw,
  problemOf,
  rawJob,
  rawPost,
  send,
  smallJob,
} from '../fixtures/clients'
import { succeeded } from '../fixtures/FakeServices'
import { openCallerServer } from '../fixtures/testServers'
import { HttpServerError, HttpServerErrorKind } from './HttpServerError'
import { openServer } from './openServer'
import { OpenAuthenticator } from '../auth/OpenAuthenticator'

const body = JSON.stringify(smallJob)
/** A job whose payload has a byte that is invalid in UTF-8. */
const notUtf8 = Buffer.from(body.replace('claim', 'cl\xffim'), 'latin1')
const CLOSE = 'Connection: close'
const tlsFolder = path.join(import.meta.dirname, '../fixtures/tls')
const tls = { keyFile: `${tlsFolder}/key.pem`, certFile: `${tlsFolder}/cert.pem` }

/** Answers that are withheld until the test calls `open`. */
function gate() {
  let open = (): void => undefined
  const opened = new Promise<void>((resolve) => {
    open = resolve
  })
  const answer = () =>
    Effect.map(
      Effect.promise(() => opened),
      () => succeeded(['1']),
    )
  return {
    answer,
    open: () => {
      open()
    },
  }
}

describe('an HTTP server given invalid or hostile input', () => {
  const limits = {
    bodyBytes: 2000,
    headerBytes: 2000,
    requestTimeoutMs: 100,
    lingerMs: 20,
    pipelinedRequests: 2,
  }
  const cases: readonly {
    readonly name: string
    readonly sent: readonly (string | Buffer)[]
    readonly status: number
  }[] = [
    { name: 'something that is not HTTP', sent: ['hello\r\n\r\n'], status: 400 },
    { name: 'no Host', sent: [`GET /healthz HTTP/1.1\r\n${CLOSE}\r\n\r\n`], status: 400 },
    {
      name: 'a target without a slash',
      sent: [`GET http://x/healthz HTTP/1.1\r\nHost: x\r\n${CLOSE}\r\n\r\n`],
      status: 404,
    },
    {
      name: 'a target that is not UTF-8',
      sent: [`GET /v1/jobs/%ff HTTP/1.1\r\nHost: x\r\n${CLOSE}\r\n\r\n`],
      status: 404,
    },
    { name: 'a huge header', sent: [rawPost([`X: ${'x'.repeat(3000)}`])], status: 431 },
    {
      name: 'a head that never ends',
      sent: ['POST /v1/jobs HTTP/1.1\r\nHost: x\r\n'],
      status: 408,
    },
    { name: 'a connection that sends nothing', sent: [], status: 408 },
    {
      name: 'a body that never ends',
      sent: [rawPost(['Content-Length: 500']), '{"a'],
      status: 408,
    },
    { name: 'a body announced too large', sent: [rawPost(['Content-Length: 9000'])], status: 413 },
    {
      name: 'a body that grows too large',
      sent: [rawPost(['Transfer-Encoding: chunked']), `bb8\r\n${'x'.repeat(3000)}\r\n`],
      status: 413,
    },
    {
      name: 'an unknown expectation',
      sent: [rawJob(body, ['Expect: miracles', CLOSE])],
      status: 417,
    },
    {
      name: 'a body that is not UTF-8',
      sent: [rawPost([`Content-Length: ${notUtf8.length}`, CLOSE]), notUtf8],
      status: 400,
    },
  ]
  for (const { name, sent, status } of cases) {
    it(`answers ${status} to ${name}, and calls no service`, async (t) => {
      const { server, service } = await openCallerServer(t, { limits })
      const raw = await exchangeRaw(server.port, ...sent)
      assert.match(raw, new RegExp(`^HTTP/1.1 ${status} `))
      assert.match(raw, /"ran":"no"/)
      assert.equal(service.submitted.length, 0)
    })
  }

  it('delivers its response to a client that is still sending a refused body', async (t) => {
    const { server } = await openCallerServer(t, { limits: { ...limits, lingerMs: 1000 } })
    const socket = net.connect(server.port, '127.0.0.1').pause()
    let received = ''
    socket.on('data', (chunk) => (received += chunk.toString()))
    socket.on('error', () => undefined)
    socket.write(rawPost(['Content-Length: 90000']))
    await eventually(() => server.counters().answers.get(413) === 1)
    socket.write('x'.repeat(50_000))
    await new Promise((resolve) => setTimeout(resolve, 20))
    socket.write('x'.repeat(40_000))
    socket.resume()
    await eventually(() => socket.destroyed)
    assert.match(received, /^HTTP\/1.1 413 /)
  })

  it('keeps an Idempotency-Key after more headers than Node keeps by default', async (t) => {
    const { server, service } = await openCallerServer(t)
    const padding = Array.from({ length: 1500 }, () => 'X: 1')
    await exchangeRaw(server.port, rawJob(body, [...padding, 'Idempotency-Key: last', CLOSE]))
    assert.equal(service.submitted[0]?.submissionKey, 'last')
  })

  it('sends no response for invalid input that follows a running request', async (t) => {
    const { server, service } = await openCallerServer(t)
    service.answer = () => Effect.never
    const raw = await exchangeRaw(server.port, rawJob(body), 'garbage\r\n\r\n')
    assert.equal(raw, '')
    assert.equal(service.submitted.length, 1)
    assert.equal(service.interrupted, 1)
  })

  it('abandons a partial request without calling the service', async (t) => {
    const { server, service } = await openCallerServer(t)
    const socket = net.connect(server.port, '127.0.0.1')
    socket.end(rawPost(['Content-Length: 500']) + '{"idem')
    await eventually(() => server.counters().abandoned === 1)
    assert.equal(server.requestsInProgress(), 0)
    assert.equal(service.submitted.length, 0)
    socket.destroy()
  })

  it('does not start queued requests of a client that has disconnected', async (t) => {
    const { server, service } = await openCallerServer(t, { limits: { turnBudgetMs: 0 } })
    const socket = net.connect(server.port, '127.0.0.1')
    service.answer = () => {
      socket.resetAndDestroy()
      return Effect.never
    }
    socket.write(rawJob(body).repeat(5))
    await eventually(() => server.counters().abandoned === 5)
    // All turns scheduled before this loop have run by its end.
    for (let turn = 0; turn < 10; turn++) await new Promise(setImmediate)
    assert.equal(server.counters().abandoned, 5)
    assert.ok(service.submitted.length < 5)
  })

  it('answers pipelined requests in order, and refuses those past the limit', async (t) => {
    const { server, service } = await openCallerServer(t, { limits })
    const { answer, open } = gate()
    service.answer = answer
    const raw = exchangeRaw(server.port, rawJob(body), rawJob(body), rawJob(body, [CLOSE]))
    await eventually(() => server.counters().answers.get(503) === 1)
    open()
    const statuses = [...(await raw).matchAll(/HTTP\/1.1 (\d+)/g)].map((match) => match[1])
    assert.deepEqual(statuses, ['200', '200', '503'])
    assert.equal(service.submitted.length, 2)
  })

  it('answers Expect: 100-continue with 413 for a too large body, else with 100', async (t) => {
    const { server } = await openCallerServer(t, { limits })
    const expect = 'Expect: 100-continue'
    const refused = await exchangeRaw(server.port, rawPost(['Content-Length: 9000', expect]))
    assert.match(refused, /^HTTP\/1.1 413 /)
    const taken = await exchangeRaw(server.port, rawJob(body, [expect, CLOSE]))
    assert.match(taken, /^HTTP\/1.1 100 Continue\r\n\r\nHTTP\/1.1 200 /)
  })

  it('releases the memory budget of bodies', async (t) => {
    const { server } = await openCallerServer(t, { limits: { bufferedBytes: body.length } })
    for (let i = 0; i < 3; i++) {
      const answer = await send(server.port, '/v1/jobs', { method: 'POST', body })
      assert.equal(answer.status, 200)
    }
    const larger = await send(server.port, '/v1/jobs', { method: 'POST', body: `${body} ` })
    assert.equal(larger.status, 503)
    assert.equal(problemOf(larger).ran, 'no')
  })

  it('closes connections past the limit', async (t) => {
    const { server } = await openCallerServer(t, { limits: { connections: 1 } })
    const first = net.connect(server.port, '127.0.0.1')
    await eventually(() => server.connections() === 1)
    assert.equal(await exchangeRaw(server.port), '')
    assert.equal(server.counters().connectionsRefused, 1)
    first.destroy()
  })

  it('closes a connection that stays idle', async (t) => {
    const { server } = await openCallerServer(t, { limits: { idleTimeoutMs: 20 } })
    const raw = await exchangeRaw(server.port, rawJob(body))
    assert.match(raw, /^HTTP\/1.1 200 /)
  })
})

describe('a shutdown', () => {
  it('closes connections after the response following closeAfterAnswers', async (t) => {
    const { server } = await openCallerServer(t)
    server.closeAfterAnswers()
    const answer = await send(server.port, '/v1/jobs', { method: 'POST', body })
    assert.equal(answer.headers.get('connection'), 'close')
  })

  it('does not cut off a pipelined request by closing after the previous response', async (t) => {
    const { server, service } = await openCallerServer(t)
    const { answer, open } = gate()
    service.answer = answer
    const raw = exchangeRaw(server.port, rawJob(body), rawJob(body))
    await eventually(() => service.submitted.length === 2)
    server.closeAfterAnswers()
    open()
    assert.equal((await raw).match(/HTTP\/1.1 200 /g)?.length, 2)
    assert.equal(service.interrupted, 0)
  })

  it('closes idle connections when it stops accepting, but none with a response in flight', async (t) => {
    const { server, service } = await openCallerServer(t)
    const large = `"${'x'.repeat(8_000_000)}"`
    service.answer = () => Effect.succeed(succeeded([large]))
    const idle = net.connect(server.port, '127.0.0.1')
    const busy = net.connect(server.port, '127.0.0.1').pause()
    let length = 0
    busy.on('data', (chunk) => (length += chunk.length))
    busy.write(rawJob(body))
    await eventually(() => server.counters().answers.get(200) === 1 && server.connections() === 2)
    server.stopAccepting()
    idle.resume()
    await eventually(() => idle.destroyed)
    assert.ok(idle.destroyed)
    assert.equal(server.requestsInProgress(), 1)
    busy.resume()
    await Effect.runPromise(server.whenIdle)
    await eventually(() => length > large.length)
    assert.ok(length > large.length)
    busy.destroy()
  })

  it('finishes requests in progress and accepts no new ones', async (t) => {
    const { server, service, logged, close } = await openCallerServer(t)
    const { answer, open } = gate()
    service.answer = answer
    const running = send(server.port, '/v1/jobs', { method: 'POST', body })
    await eventually(() => service.submitted.length === 1)
    const { port } = server
    server.stopAccepting()
    await assert.rejects(send(port, '/v1/jobs', { method: 'POST', body }))
    const idle = Effect.runPromise(server.whenIdle).then(close)
    open()
    assert.equal((await running).status, 200)
    await idle
    assert.deepEqual(logged, [])
  })

  it('flushes a response that was written just before shutdown', async (t) => {
    const { server, service, logged, close } = await openCallerServer(t)
    const large = `"${'x'.repeat(8_000_000)}"`
    service.answer = () => Effect.succeed(succeeded([large]))
    const socket = net.connect(server.port, '127.0.0.1').pause()
    let length = 0
    socket.on('data', (chunk) => (length += chunk.length))
    socket.write(rawJob(body))
    await eventually(() => server.counters().answers.get(200) === 1)
    assert.equal(server.requestsInProgress(), 1)
    await close()
    socket.resume()
    await eventually(() => socket.destroyed)
    assert.ok(length > large.length)
    assert.deepEqual(logged, [])
  })

  it('logs how many requests it cut off', async (t) => {
    const { server, service, logged, close } = await openCallerServer(t)
    service.answer = () => Effect.never
    const running = send(server.port, '/v1/jobs', { method: 'POST', body })
    await eventually(() => service.submitted.length === 1)
    await Promise.all([assert.rejects(running), close()])
    await eventually(() => service.interrupted === 1)
    assert.equal(service.interrupted, 1)
    assert.deepEqual(logged, ['cut off 1 requests in progress'])
  })
})

describe('starting a server', () => {
  const options = { host: '127.0.0.1', port: 0, log: () => undefined }

  function failure(changes: object): Promise<unknown> {
    const started = openServer({ ...options, ...changes }, new OpenAuthenticator(), [])
    return Effect.runPromise(Effect.flip(Effect.scoped(started)))
  }

  it('fails when the port is taken', async (t) => {
    const { server } = await openCallerServer(t)
    const err = await failure({ port: server.port })
    assert.ok(err instanceof HttpServerError)
    assert.equal(err.kind, HttpServerErrorKind.ListenFailed)
  })

  for (const certFile of ['/nowhere.pem', tls.keyFile]) {
    it(`fails with the certificate ${path.basename(certFile)}`, async () => {
      const err = await failure({ tls: { ...tls, certFile } })
      assert.ok(err instanceof HttpServerError)
      assert.equal(err.kind, HttpServerErrorKind.TlsUnusable)
    })
  }

  it('serves HTTPS with a key, and interrupts the service when a caller disconnects', async (t) => {
    const { server, service } = await openCallerServer(t, { tls })
    service.answer = () => Effect.never
    const req = https.request({
      port: server.port,
      host: '127.0.0.1',
      rejectUnauthorized: false,
      method: 'POST',
      path: '/v1/jobs',
      headers: { 'Cherryhitch-Caller': 'desk' },
    })
    req.on('error', () => undefined)
    req.end(body)
    await eventually(() => service.submitted.length === 1)
    assert.equal(server.requestsInProgress(), 1)
    req.destroy()
    await eventually(() => service.interrupted === 1)
    assert.equal(service.interrupted, 1)
  })

  it('drops plain HTTP on an HTTPS port', async (t) => {
    const { server, service } = await openCallerServer(t, { tls })
    assert.doesNotMatch(await exchangeRaw(server.port, rawJob(body)), /HTTP/)
    assert.equal(service.submitted.length, 0)
  })
})
