import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { parseTraceparent } from '@cherryhitch/model'
import { JobState, Outcome, Reason } from '@cherryhitch/protocol'
import { Effect } from 'effect'
import { eventually, exchangeRaw, problemOf, rawJob, send, smallJob } from '../fixtures/clients'
import { unsuccessful } from '../fixtures/FakeServices'
import { openCallerServer } from '../fixtures/testServers'

const task = smallJob.tasks[0]

describe('POST /v1/jobs', () => {
  it('passes every field of the job to the service and answers with its outputs', async (t) => {
    const { server, service } = await openCallerServer(t)
    const sized = { ...task, cores: 2, memoryMb: 512, accelerators: 1, expectedRunMs: 80 }
    const traceparent = `00-${'a'.repeat(32)}-${'b'.repeat(16)}-01`
    const answer = await send(server.port, '/v1/jobs', {
      method: 'POST',
      headers: { 'Idempotency-Key': 'k-1', traceparent },
      body: { idempotent: false, deadlineMs: 1500, tasks: [sized, task] },
    })
    assert.equal(answer.status, 200)
    assert.deepEqual(JSON.parse(answer.text), {
      jobId: 'entry-1.b.1',
      state: 'succeeded',
      settingsVersion: 7,
      settingsCurrent: true,
      outputs: [{ claim: 1 }, { claim: 1 }],
    })
    const spec = service.submitted[0]
    assert.equal(spec?.caller, 'desk')
    assert.equal(spec.submissionKey, 'k-1')
    assert.ok(spec.deadlineInMs > 0 && spec.deadlineInMs <= 1500)
    assert.equal(spec.idempotent, false)
    assert.equal(spec.traceparent, traceparent)
    assert.equal(spec.tasks[0]?.payload, '{"claim":1}')
    assert.equal(spec.tasks[0].expectedRunMs, 80)
    assert.equal(spec.tasks[0].resources?.memoryMb, 512)
  })

  for (const [deadlineMs, left] of [
    [1500, 900],
    [600, 1],
    [100, 1],
  ]) {
    it(`subtracts the time a job waited in this instance from its deadline of ${deadlineMs ?? 0}`, async (t) => {
      let now = 0
      const clock = { now: () => (now += 200) }
      const { server, service } = await openCallerServer(t, { clock })
      const body = { ...smallJob, deadlineMs }
      await send(server.port, '/v1/jobs', { method: 'POST', body })
      assert.equal(service.submitted[0]?.deadlineInMs, left)
    })
  }

  it('refuses a request that waited too long in the queue, without parsing it', async (t) => {
    let now = 0
    const clock = { now: () => (now += 200) }
    const { server, service } = await openCallerServer(t, { clock, limits: { queueWaitMs: 199 } })
    const answer = await send(server.port, '/v1/jobs', { method: 'POST', body: 'no job' })
    assert.equal(answer.status, 503)
    assert.equal(problemOf(answer).ran, 'no')
    assert.equal(answer.headers.get('retry-after'), '1')
    assert.equal(service.submitted.length, 0)
    assert.equal((await send(server.port, '/readyz')).status, 200)
  })

  it('starts a new trace for each job without a valid traceparent', async (t) => {
    const { server, service } = await openCallerServer(t)
    await send(server.port, '/v1/jobs', { method: 'POST', body: smallJob })
    const headers = { traceparent: 'nonsense' }
    await send(server.port, '/v1/jobs', { method: 'POST', body: smallJob, headers })
    const traces = service.submitted.map((job) => parseTraceparent(job.traceparent)?.traceId)
    assert.equal(new Set(traces).size, 2)
    assert.ok(!traces.includes(undefined))
  })

  it('answers 202 with the Location of the job to respond-async', async (t) => {
    const { server, service } = await openCallerServer(t)
    service.answer = () => Effect.succeed(unsuccessful({ state: JobState.RUNNING }))
    const headers = { Prefer: 'wait=1, respond-async' }
    const answer = await send(server.port, '/v1/jobs', { method: 'POST', body: smallJob, headers })
    assert.equal(answer.status, 202)
    assert.equal(answer.headers.get('location'), '/v1/jobs/entry-1.b.1')
    assert.equal(answer.headers.get('preference-applied'), 'respond-async')
  })

  const faults: readonly {
    readonly name: string
    readonly body: unknown
    readonly headers?: Readonly<Record<string, string>>
    readonly status?: number
    readonly detail: RegExp
  }[] = [
    { name: 'no JSON', body: '{"tasks":', detail: /not JSON/ },
    { name: 'an empty body', body: '', detail: /not JSON/ },
    { name: 'a body that is not an object', body: '[]', detail: /the body/ },
    { name: 'a job without idempotent', body: { tasks: [task] }, detail: /^\/idempotent: say/ },
    { name: 'no tasks', body: { ...smallJob, tasks: [] }, detail: /^\/tasks: / },
    {
      name: 'too many tasks',
      body: { ...smallJob, tasks: Array(4).fill(task) },
      detail: /^\/tasks: /,
    },
    { name: 'a misspelt member', body: { ...smallJob, deadlinems: 5 }, detail: /^\/deadlinems: / },
    { name: 'a deadline of 0', body: { ...smallJob, deadlineMs: 0 }, detail: /^\/deadlineMs: / },
    {
      name: 'a deadline past the limit',
      body: { ...smallJob, deadlineMs: 1e12 },
      detail: /^\/deadlineMs: /,
    },
    {
      name: 'an invalid service name',
      body: { ...smallJob, tasks: [task, { ...task, service: '../x' }] },
      detail: /^\/tasks\/1\/service: is no valid name/,
    },
    {
      name: 'no payload',
      body: { ...smallJob, tasks: [{ service: 'trace' }] },
      detail: /^\/tasks\/0\/payload: /,
    },
    {
      name: 'negative cores',
      body: { ...smallJob, tasks: [{ ...task, cores: -1 }] },
      detail: /^\/tasks\/0\/cores: /,
    },
    {
      name: 'an integer that a double can not hold exactly',
      body: '{"idempotent":true,"tasks":[{"service":"a","payload":{"a/b":9007199254740993}}]}',
      detail: /^\/tasks\/0\/payload\/a~1b: .*send it as a string/,
    },
    {
      name: 'a number beyond the range of a double',
      body: '{"idempotent":true,"tasks":[{"service":"a","payload":[1e999]}]}',
      detail: /^\/tasks\/0\/payload\/0: /,
    },
    {
      name: 'nesting past the limit',
      body: `{"idempotent":true,"tasks":[{"service":"a","payload":${'['.repeat(3000)}${']'.repeat(3000)}}]}`,
      detail: /nested deeper/,
    },
    {
      name: 'a non-idempotent job without a key',
      body: { ...smallJob, idempotent: false },
      detail: /Idempotency-Key/,
    },
    {
      name: 'a key with a space',
      body: smallJob,
      headers: { 'Idempotency-Key': 'a b' },
      detail: /Idempotency-Key/,
    },
    {
      name: 'a key that is too long',
      body: smallJob,
      headers: { 'Idempotency-Key': 'k'.repeat(129) },
      detail: /Idempotency-Key/,
    },
    {
      name: 'an invalid caller name',
      body: smallJob,
      headers: { 'Cherryhitch-Caller': 'a.b' },
      detail: /Cherryhitch-Caller/,
    },
    {
      name: 'a form body',
      body: 'a=1',
      headers: { 'Content-Type': 'application/x-www-form-urlencoded' },
      status: 415,
      detail: /application\/json/,
    },
    {
      name: 'a compressed body',
      body: smallJob,
      headers: { 'Content-Encoding': 'gzip' },
      status: 415,
      detail: /Content-Encoding/,
    },
  ]

  for (const { name, body, headers = {}, status = 400, detail } of faults) {
    it(`refuses ${name} and calls no service`, async (t) => {
      const { server, service } = await openCallerServer(t, { limits: { tasksPerJob: 3 } })
      const answer = await send(server.port, '/v1/jobs', { method: 'POST', headers, body })
      const problem = problemOf(answer)
      assert.equal(answer.status, status)
      assert.match(problem.detail, detail)
      assert.equal(problem.ran, 'no')
      assert.equal(answer.headers.get('content-type'), 'application/problem+json')
      assert.equal(service.submitted.length, 0)
    })
  }

  it('refuses two Idempotency-Key headers', async (t) => {
    const { server, service } = await openCallerServer(t)
    const keys = ['Idempotency-Key: a', 'Idempotency-Key: b', 'Connection: close']
    const raw = await exchangeRaw(server.port, rawJob(JSON.stringify(smallJob), keys))
    assert.match(raw, /^HTTP\/1.1 400 /)
    assert.equal(service.submitted.length, 0)
  })

  it('answers ran: unknown when the service dies with a defect', async (t) => {
    const { server, service, logged } = await openCallerServer(t)
    service.answer = () => Effect.die(new Error('broken'))
    const answer = await send(server.port, '/v1/jobs', { method: 'POST', body: smallJob })
    assert.equal(answer.status, 500)
    assert.equal(problemOf(answer).ran, 'unknown')
    assert.match(logged.join('\n'), /POST \/v1\/jobs failed: .*broken/)
  })

  it('answers ran: unknown when the service throws synchronously', async (t) => {
    const { server, service } = await openCallerServer(t)
    service.answer = () => {
      throw new Error('thrown')
    }
    const answer = await send(server.port, '/v1/jobs', { method: 'POST', body: smallJob })
    assert.equal(problemOf(answer).ran, 'unknown')
  })

  it('interrupts the service when the caller disconnects', async (t) => {
    const { server, service } = await openCallerServer(t)
    service.answer = () => Effect.never
    const gone = new AbortController()
    const request = fetch(`http://127.0.0.1:${server.port}/v1/jobs`, {
      method: 'POST',
      headers: { 'Cherryhitch-Caller': 'desk' },
      body: new Blob([JSON.stringify(smallJob)]),
      signal: gone.signal,
    })
    await eventually(() => service.submitted.length === 1)
    gone.abort()
    await assert.rejects(request)
    await eventually(() => service.interrupted === 1)
    assert.equal(service.interrupted, 1)
    assert.equal(server.requestsInProgress(), 0)
    assert.equal(server.counters().abandoned, 1)
  })

  it('answers ran: no only for the outcome NOT_RUN', async (t) => {
    const { server, service } = await openCallerServer(t)
    const outcomes = [Outcome.NOT_RUN, Outcome.UNKNOWN, Outcome.FAILED, Outcome.UNSPECIFIED]
    const states = [JobState.FAILED, JobState.REFUSED, JobState.CANCELLED, JobState.UNSPECIFIED]
    for (const [outcome, state] of outcomes.flatMap((o) => states.map((s) => [o, s] as const))) {
      const refused = unsuccessful({ state, reason: Reason.OWNER_LOST, outcome })
      service.answer = () => Effect.succeed(refused)
      const answer = await send(server.port, '/v1/jobs', { method: 'POST', body: smallJob })
      assert.equal(problemOf(answer).ran, outcome === Outcome.NOT_RUN ? 'no' : 'unknown')
    }
  })
})
