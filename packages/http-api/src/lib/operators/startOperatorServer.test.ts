import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { AdmissionRule, CommandResult, QueueOrder, VoterChangeKind } from '@cherryhitch/protocol'
import { AccessRole } from '../auth/Authenticator'
import { problemOf, send } from '../fixtures/clients'
import { openOperatorServer } from '../fixtures/testServers'

const headers = { 'Cherryhitch-Operator': 'sato' }
const change = { fromVersion: 7, reason: 'month end', commandId: 'cmd-1' }
const setPreset = { name: 'peak', ...change }
const definition = {
  description: 'For the end of a month.',
  jobsInFlightPerInstance: 500,
  queuedTasksPerSlot: 4,
  callerQueueShare: 0.5,
  retryBudget: 0.1,
  spillMarginMs: 20,
  queueOrder: 'deadline_fair',
  placementRule: 'spread_fast',
  healthRule: 'decayed_score',
  admissionRule: 'predicted_finish',
  ownerShards: 1,
}

describe('a change by an operator', () => {
  it('is proposed with its operator, reason and base version', async (t) => {
    const { server, service } = await openOperatorServer(t)
    const request = { method: 'PUT', headers, body: setPreset }
    const answer = await send(server.port, '/v1/preset', request)
    assert.deepEqual(JSON.parse(answer.text), {
      commandId: 'cmd-1',
      result: 'applied',
      version: 8,
      detail: '',
    })
    const command = service.proposed[0]
    assert.equal(command?.commandId, 'cmd-1')
    assert.equal(command.change.case, 'setPreset')
    const { name, fromVersion, operator, reason } = command.change.value
    assert.deepEqual(
      { name, fromVersion, operator, reason },
      {
        name: 'peak',
        fromVersion: 7,
        operator: 'sato',
        reason: 'month end',
      },
    )
  })

  it('drains a zone under the name in the path', async (t) => {
    const { server, service } = await openOperatorServer(t)
    const request = { method: 'PUT', headers, body: { drained: true, ...change } }
    assert.equal((await send(server.port, '/v1/zones/north', request)).status, 200)
    const proposed = service.proposed[0]?.change
    assert.ok(proposed?.case === 'setZoneDrain')
    const { zone, drained, fromVersion, operator, reason } = proposed.value
    assert.deepEqual([zone, drained], ['north', true])
    assert.deepEqual([fromVersion, operator, reason], [7, 'sato', 'month end'])
    assert.equal((await send(server.port, '/v1/zones/no%20zone', request)).status, 400)
    assert.equal(service.proposed.length, 1)
    const { text } = await send(server.port, '/v1/zones')
    assert.deepEqual(JSON.parse(text), { version: 7, current: true, zones: [] })
  })

  it('takes the operator from the token, not from the header', async (t) => {
    const tokens = [{ token: 's', name: 'tanaka', role: AccessRole.Operator }]
    const { server, service } = await openOperatorServer(t, { tokens })
    const named = { ...headers, Authorization: 'Bearer s' }
    const request = { method: 'PUT', body: setPreset }
    assert.equal((await send(server.port, '/v1/preset', { ...request, headers })).status, 401)
    await send(server.port, '/v1/preset', { ...request, headers: named })
    const proposed = service.proposed[0]?.change
    assert.ok(proposed?.case === 'setPreset')
    assert.equal(proposed.value.operator, 'tanaka')
  })

  it('is refused without an operator name, though reading needs none', async (t) => {
    const { server, service } = await openOperatorServer(t)
    const answer = await send(server.port, '/v1/preset', { method: 'PUT', body: setPreset })
    assert.equal(answer.status, 400)
    assert.match(problemOf(answer).detail, /Cherryhitch-Operator/)
    assert.equal(service.proposed.length, 0)
    assert.equal((await send(server.port, '/v1/settings')).status, 200)
  })

  it('can define a preset', async (t) => {
    const { server, service } = await openOperatorServer(t)
    const body = { ...change, definition }
    await send(server.port, '/v1/presets/peak', { method: 'PUT', headers, body })
    const proposed = service.proposed[0]?.change
    assert.ok(proposed?.case === 'definePreset')
    const defined = proposed.value.definition
    assert.equal(defined?.name, 'peak')
    assert.equal(defined.queueOrder, QueueOrder.DEADLINE_FAIR)
    assert.equal(defined.admissionRule, AdmissionRule.PREDICTED_FINISH)
    assert.equal(defined.retryBudget, 0.1)
  })

  it('can change the voters', async (t) => {
    const { server, service } = await openOperatorServer(t)
    const { reason, commandId } = change
    const body = { kind: 'promote', instance: 'entry-2', diskId: 'd-9', reason, commandId }
    await send(server.port, '/v1/voters', { method: 'POST', headers, body })
    const proposed = service.proposed[0]?.change
    assert.ok(proposed?.case === 'changeVoters')
    assert.equal(proposed.value.kind, VoterChangeKind.PROMOTE)
    assert.equal(proposed.value.diskId, 'd-9')
  })

  const results = [
    { result: CommandResult.CONFLICT, status: 409, ran: 'no', says: /won by tanaka/ },
    { result: CommandResult.REJECTED, status: 422, ran: 'no', says: /won by tanaka/ },
    { result: CommandResult.UNAVAILABLE, status: 503, ran: 'no', says: /won by tanaka/ },
    { result: CommandResult.UNKNOWN, status: 504, ran: 'unknown', says: /same command id again/ },
    { result: CommandResult.UNSPECIFIED, status: 504, ran: 'unknown', says: /same command id/ },
  ]
  for (const { result, status, ran, says } of results) {
    it(`is answered ${status} for the result ${CommandResult[result]}`, async (t) => {
      const { server, service } = await openOperatorServer(t)
      service.answer = { result, version: 9, detail: 'Version 9 was won by tanaka.' }
      const request = { method: 'PUT', headers, body: setPreset }
      const answer = await send(server.port, '/v1/preset', request)
      const problem = problemOf(answer)
      assert.equal(answer.status, status)
      assert.equal(problem.ran, ran)
      assert.match(problem.detail, says)
      assert.equal(answer.headers.has('retry-after'), status === 503)
    })
  }

  const faults: readonly (readonly [string, string, unknown, RegExp])[] = [
    ['PUT', '/v1/preset', { ...setPreset, fromVersion: undefined }, /^\/fromVersion: /],
    ['PUT', '/v1/preset', { ...setPreset, fromVersion: 6.5 }, /^\/fromVersion: /],
    ['PUT', '/v1/preset', { ...setPreset, reason: '  ' }, /^\/reason: /],
    ['PUT', '/v1/preset', { ...setPreset, commandId: '' }, /^\/commandId: /],
    ['PUT', '/v1/preset', { ...setPreset, operator: 'me' }, /^\/operator: /],
    ['PUT', '/v1/preset', { ...setPreset, name: 'a b' }, /^\/name: /],
    ['PUT', '/v1/presets/a.b', { ...change, definition }, /preset in the path/],
    [
      'PUT',
      '/v1/presets/peak',
      { ...change, definition: { ...definition, retryBudget: 2 } },
      /^\/definition\/retryBudget: /,
    ],
    [
      'PUT',
      '/v1/presets/peak',
      { ...change, definition: { ...definition, healthRule: 'x' } },
      /^\/definition\/healthRule: /,
    ],
    ['POST', '/v1/voters', { kind: 'sack' }, /^\/kind: /],
  ]
  for (const [method, path, body, detail] of faults) {
    it(`is refused with ${detail.source} for ${JSON.stringify(body).slice(0, 40)}`, async (t) => {
      const { server, service } = await openOperatorServer(t)
      const answer = await send(server.port, path, { method, headers, body })
      assert.equal(answer.status, 400)
      assert.match(problemOf(answer).detail, detail)
      assert.equal(service.proposed.length, 0)
    })
  }
})

describe('the read routes for operators', () => {
  const reads: readonly (readonly [string, number, RegExp])[] = [
    ['/v1/instances', 200, /^\{"instances":\[\]\}$/],
    ['/v1/endpoints', 200, /^\{"endpoints":\[\]\}$/],
    ['/v1/jobs', 200, /"state":"succeeded"/],
    ['/v1/settings', 200, /"version":7,"preset":"ordinary"/],
    ['/v1/audit', 200, /"records":\[\]/],
    ['/v1/voters', 503, /"ran":"no"/],
    ['/metrics', 200, /^up 1$/m],
  ]
  for (const [path, status, says] of reads) {
    it(`serve ${path}`, async (t) => {
      const { server } = await openOperatorServer(t)
      const answer = await send(server.port, path, { headers })
      assert.equal(answer.status, status)
      assert.match(answer.text, says)
    })
  }

  it('omit job outputs, which are private to the caller', async (t) => {
    const { server } = await openOperatorServer(t)
    assert.doesNotMatch((await send(server.port, '/v1/jobs', { headers })).text, /secret/)
  })

  it('validate and cap the paging of the audit record', async (t) => {
    const { server, service } = await openOperatorServer(t)
    await send(server.port, '/v1/audit?from=40&limit=9999', { headers })
    assert.deepEqual(service.auditReads, [{ from: 40, limit: 1000 }])
    const refused = await send(server.port, '/v1/audit?from=-1', { headers })
    assert.equal(refused.status, 400)
  })
})
