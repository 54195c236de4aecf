import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { EndpointState } from '@cherryhitch/protocol'
import { AccessRole } from '../auth/Authenticator'
import { problemOf, send } from '../fixtures/clients'
import { openEndpointServer } from '../fixtures/testServers'

const path = '/v1/endpoints/trace-07/heartbeat'
const body = {
  service: 'trace',
  zone: 'ishikari-1a',
  rack: 'r1',
  address: '10.0.0.7:9001',
  slots: 8,
  connections: 64,
  capacity: { cores: 32, memoryMb: 65536 },
  boot: 3,
  runningTaskIds: ['entry-1.b.1.0'],
  state: 'serving',
}

describe('a heartbeat', () => {
  it('is passed to the service and answered with the owner', async (t) => {
    const { server, service } = await openEndpointServer(t)
    const answer = await send(server.port, path, { method: 'POST', body })
    assert.deepEqual(JSON.parse(answer.text), {
      owner: 'entry-1',
      ownerAddress: '127.0.0.1:7002',
      nextHeartbeatMs: 500,
    })
    const heard = service.heard[0]
    assert.equal(heard?.endpoint, 'trace-07')
    assert.equal(heard.capacity?.memoryMb, 65536)
    assert.deepEqual(heard.runningTaskIds, ['entry-1.b.1.0'])
    assert.equal(heard.state, EndpointState.SERVING)
  })

  it('can announce that the endpoint is leaving, and may have unknown members', async (t) => {
    const { server, service } = await openEndpointServer(t)
    const leaving = { ...body, state: 'leaving', address: '[::1]:9001', later: true }
    await send(server.port, path, { method: 'POST', body: leaving })
    assert.equal(service.heard[0]?.state, EndpointState.LEAVING)
  })

  const faults: readonly (readonly [Record<string, unknown>, RegExp])[] = [
    [{ address: 'worker-7:9001' }, /^\/address: is no IP address/],
    [{ address: '10.0.0.7' }, /^\/address: /],
    [{ address: '10.0.0.7:70000' }, /^\/address: /],
    [{ address: '10.0.0.999:80' }, /^\/address: /],
    [{ slots: 0 }, /^\/slots: /],
    [{ slots: 1.5 }, /^\/slots: /],
    [{ capacity: { cores: -1 } }, /^\/capacity\/cores: /],
    [{ boot: -1 }, /^\/boot: /],
    [{ runningTaskIds: ['x'] }, /^\/runningTaskIds\/0: is no task id/],
    [{ state: 'asleep' }, /^\/state: /],
    [{ zone: '' }, /^\/zone: /],
  ]
  for (const [change, detail] of faults) {
    it(`is refused with ${JSON.stringify(change)}`, async (t) => {
      const { server, service } = await openEndpointServer(t)
      const changed = { ...body, ...change }
      const answer = await send(server.port, path, { method: 'POST', body: changed })
      assert.equal(answer.status, 400)
      assert.match(problemOf(answer).detail, detail)
      assert.equal(service.heard.length, 0)
    })
  }

  it('is refused with an invalid endpoint name or without the token', async (t) => {
    const open = await openEndpointServer(t)
    const badName = await send(open.server.port, '/v1/endpoints/a.b/heartbeat', {
      method: 'POST',
      body,
    })
    assert.equal(badName.status, 400)
    const tokens = [{ token: 'worker-secret', name: 'workers', role: AccessRole.Endpoint }]
    const guarded = await openEndpointServer(t, { tokens })
    const request = { method: 'POST', body }
    const refused = await send(guarded.server.port, path, request)
    assert.equal(refused.status, 401)
    assert.match(refused.headers.get('www-authenticate') ?? '', /^Bearer/)
    const headers = { Authorization: 'Bearer worker-secret' }
    assert.equal((await send(guarded.server.port, path, { ...request, headers })).status, 200)
  })
})
