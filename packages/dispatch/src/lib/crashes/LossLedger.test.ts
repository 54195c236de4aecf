import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { create } from '@bufbuild/protobuf'
import type { MessageInitShape } from '@bufbuild/protobuf'
import { CountedCrashBlame, TaskStanding } from '@cherryhitch/policy'
import { EndpointGroupSchema, LostEndpointSchema } from '@cherryhitch/protocol'
import type { EndpointGroup, LostEndpoint } from '@cherryhitch/protocol'
import { LossLedger } from './LossLedger'

const KEEP_MS = 60_000
const TASK = 'j.0.0.0'

function open(): LossLedger {
  return new LossLedger(new CountedCrashBlame(), KEEP_MS)
}

const defaultLost = { tasks: [TASK], unconfirmed: [] as string[], silent: 1, lostMsAgo: 0, term: 1 }

function lost(endpoint: string, options: Partial<typeof defaultLost> = {}): LostEndpoint {
  const { silent, ...fields } = { ...defaultLost, ...options }
  const groups = [{ name: 'rack', size: 6, silent }]
  return create(LostEndpointSchema, { endpoint, groups, ...fields })
}

function asGroup(group: MessageInitShape<typeof EndpointGroupSchema>): EndpointGroup {
  return create(EndpointGroupSchema, group)
}

const crashed = (endpoint: string): LostEndpoint => {
  return create(LostEndpointSchema, { endpoint, crashed: true })
}

describe('what is known of lost endpoints', () => {
  it('makes a task the cause once two have come back as another life', () => {
    const ledger = open()
    ledger.take(0, lost('e1'))
    assert.equal(ledger.standing(TASK), TaskStanding.Suspect)
    ledger.take(1, lost('e2'))
    assert.equal(ledger.standing(TASK), TaskStanding.Held)
    ledger.take(2, crashed('e1'))
    assert.equal(ledger.standing(TASK), TaskStanding.Held)
    ledger.take(3, crashed('e2'))
    assert.equal(ledger.standing(TASK), TaskStanding.Culprit)
  })

  it('counts an endpoint once, however many instances tell of it', () => {
    const ledger = open()
    assert.equal(ledger.take(0, lost('e1')), true)
    assert.equal(ledger.take(1, lost('e1')), false)
    ledger.take(2, crashed('e1'))
    assert.equal(ledger.take(3, crashed('e1')), false)
    assert.equal(ledger.standing(TASK), TaskStanding.Suspect)
  })

  it('speaks against no task once the endpoint has answered again', () => {
    const ledger = open()
    ledger.take(0, lost('e1'))
    ledger.take(1, create(LostEndpointSchema, { endpoint: 'e1', cleared: true }))
    assert.equal(ledger.standing(TASK), TaskStanding.Clear)
    assert.deepEqual(ledger.all(1), { lost: [], possible: [] })
  })

  it('speaks against no task when a whole rack was lost', () => {
    const ledger = open()
    for (const endpoint of ['e1', 'e2']) {
      ledger.take(0, lost(endpoint, { silent: 6 }))
      ledger.take(1, crashed(endpoint))
    }
    assert.equal(ledger.standing(TASK), TaskStanding.Clear)
  })

  it('is the same at an instance that was told of it', () => {
    const ledger = open()
    ledger.take(0, lost('e1'))
    ledger.take(0, lost('e2'))
    ledger.take(5, crashed('e1'))
    ledger.take(5, crashed('e2'))
    const other = open()
    for (const one of ledger.all(10).lost) other.take(10, one)
    assert.equal(other.standing(TASK), TaskStanding.Culprit)
    assert.deepEqual(other.endpointsOf(TASK), ['e1', 'e2'])
  })

  it('is what the last leader read there, without what had ended', () => {
    const ledger = open()
    ledger.take(0, lost('e1', { tasks: [TASK, 'k.0.0.0'] }))
    ledger.take(1, lost('e1', { tasks: ['k.0.0.0'], term: 2 }))
    assert.equal(ledger.take(2, lost('e1')), false)
    assert.equal(ledger.standing(TASK), TaskStanding.Clear)
    assert.equal(ledger.standing('k.0.0.0'), TaskStanding.Suspect)
  })

  it('blames no task whose order to start had no answer for the crash of an endpoint', () => {
    const ledger = open()
    for (const endpoint of ['e1', 'e2']) {
      ledger.take(0, lost(endpoint, { unconfirmed: endpoint === 'e2' ? [TASK] : [] }))
      ledger.take(1, crashed(endpoint))
    }
    assert.equal(ledger.standing(TASK), TaskStanding.Suspect)
  })

  it('speaks against no task when all that was left of a rack was lost', () => {
    const ledger = open()
    for (const endpoint of ['e1', 'e2']) {
      const groups = [{ name: 'rack', size: 2, silent: 2 }]
      ledger.take(0, { ...lost(endpoint), groups: groups.map(asGroup) })
      ledger.take(1, crashed(endpoint))
    }
    assert.equal(ledger.standing(TASK), TaskStanding.Clear)
  })

  it('is forgotten after a while', () => {
    const ledger = open()
    ledger.take(0, lost('e1'))
    ledger.take(KEEP_MS, lost('e2', { tasks: ['other.0.0.0'] }))
    assert.equal(ledger.standing(TASK), TaskStanding.Clear)
  })

  it('holds against what an endpoint got after the first news of its loss', () => {
    const ledger = open()
    ledger.take(0, lost('e1', { tasks: ['k.0.0.0'] }))
    assert.equal(ledger.take(5, lost('e1')), true)
    assert.equal(ledger.standing(TASK), TaskStanding.Suspect)
    assert.equal(ledger.standing('k.0.0.0'), TaskStanding.Suspect)
  })
})
