import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { JobState, Outcome, Reason } from '@cherryhitch/protocol'
import { problemOf, send } from '../fixtures/clients'
import { succeeded, unsuccessful } from '../fixtures/FakeServices'
import { openCallerServer } from '../fixtures/testServers'

const path = '/v1/jobs/entry-1.b.1'
const cancelled = { state: JobState.CANCELLED, reason: Reason.CANCELLED, outcome: Outcome.NOT_RUN }

describe('GET and DELETE /v1/jobs/{id}', () => {
  const cases = [
    { method: 'GET', known: succeeded(['1']), status: 200, says: /"outputs":\[1\]/ },
    {
      method: 'GET',
      known: unsuccessful({ state: JobState.RUNNING }),
      status: 202,
      says: /"running"/,
    },
    { method: 'GET', known: unsuccessful(cancelled), status: 409, says: /"ran":"no"/ },
    { method: 'GET', known: undefined, status: 404, says: /"ran":"unknown"/ },
    { method: 'DELETE', known: unsuccessful(cancelled), status: 200, says: /"ran":"no"/ },
    { method: 'DELETE', known: succeeded(['1']), status: 200, says: /"outputs":\[1\]/ },
    { method: 'DELETE', known: undefined, status: 404, says: /"ran":"unknown"/ },
  ]
  for (const { method, known, status, says } of cases) {
    it(`answers ${status} to ${method} of a job that is ${String(known?.state)}`, async (t) => {
      const { server, service } = await openCallerServer(t)
      service.known = known
      const answer = await send(server.port, path, { method })
      assert.equal(answer.status, status)
      assert.match(answer.text, says)
      const question = { jobId: 'entry-1.b.1', caller: 'desk', cancel: method === 'DELETE' }
      assert.deepEqual(service.questions, [{ ...question, wait: false }])
    })
  }

  it('waits for the end of the job with wait=true', async (t) => {
    const { server, service } = await openCallerServer(t)
    await send(server.port, `${path}?wait=true`)
    assert.equal(service.questions[0]?.wait, true)
  })

  for (const target of ['/v1/jobs/nonsense', '/v1/jobs/a.b', `${path}?wait=yes`]) {
    it(`refuses ${target}`, async (t) => {
      const { server, service } = await openCallerServer(t)
      const answer = await send(server.port, target)
      assert.equal(answer.status, 400)
      assert.equal(problemOf(answer).ran, 'no')
      assert.equal(service.questions.length, 0)
    })
  }

  it('answers health probes without a caller name, and 503 while the instance is not ready', async (t) => {
    let ready = true
    const { server } = await openCallerServer(t, { ready: () => ready })
    const headers = { 'Cherryhitch-Caller': '' }
    assert.equal((await send(server.port, '/healthz', { headers })).status, 200)
    assert.equal((await send(server.port, '/readyz', { headers })).status, 200)
    ready = false
    assert.equal((await send(server.port, '/readyz', { headers })).status, 503)
  })

  it('answers 405 with the allowed methods', async (t) => {
    const { server } = await openCallerServer(t)
    const answer = await send(server.port, '/v1/jobs', { method: 'PUT', body: '{}' })
    assert.equal(answer.status, 405)
    assert.equal(answer.headers.get('allow'), 'POST')
  })
})
