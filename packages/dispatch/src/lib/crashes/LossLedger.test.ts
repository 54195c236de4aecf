import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { create } from '@bufbuild/protobuf'
import type { MessageInitShape } from '@bufbuild/protobuf'
import { CountedCrashAttribution, CrashSuspicion } from '@cherryhitch/policy'
import { EndpointGroupSchema, LostEndpointSchema } from '@cherryhitch/protocol'
import type { EndpointGroup, LostEndpoint } from '@cherryhitch/protocol'
import { LossLedger } from './LossLedger'

const RETENTION_MS = 60_000
const TASK = 'j.0.0.0'

function makeLedger(): LossLedger {
  return new LossLedger(new CountedCrashAttribution(), RETENTION_MS)
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

describe('the ledger of lost endpoints', () => {
  it('names a task as the culprit once two endpoints have restarted after a crash', () => {
    const ledger = makeLedger()
    ledger.apply(0, lost('e1'))
    assert.equal(ledger.standing(TASK), CrashSuspicion.Suspect)
    ledger.apply(1, lost('e2'))
    assert.equal(ledger.standing(TASK), CrashSuspicion.Held)
    ledger.apply(2, crashed('e1'))
    assert.equal(ledger.standing(TASK), CrashSuspicion.Held)
    ledger.apply(3, crashed('e2'))
    assert.equal(ledger.standing(TASK), CrashSuspicion.Culprit)
  })

  it('counts an endpoint once, however many instances report it', () => {
    const ledger = makeLedger()
    assert.equal(ledger.apply(0, lost('e1')), true)
    assert.equal(ledger.apply(1, lost('e1')), false)
    ledger.apply(2, crashed('e1'))
    assert.equal(ledger.apply(3, crashed('e1')), false)
    assert.equal(ledger.standing(TASK), CrashSuspicion.Suspect)
  })

  it('clears the tasks once the endpoint has answered again', () => {
    const ledger = makeLedger()
    ledger.apply(0, lost('e1'))
    ledger.apply(1, create(LostEndpointSchema, { endpoint: 'e1', cleared: true }))
    assert.equal(ledger.standing(TASK), CrashSuspicion.Clear)
    assert.deepEqual(ledger.all(1), { lost: [], possible: [] })
  })

  it('suspects no task when a whole rack was lost', () => {
    const ledger = makeLedger()
    for (const endpoint of ['e1', 'e2']) {
      ledger.apply(0, lost(endpoint, { silent: 6 }))
      ledger.apply(1, crashed(endpoint))
    }
    assert.equal(ledger.standing(TASK), CrashSuspicion.Clear)
  })

  it('gives the same result at an instance that received its contents', () => {
    const ledger = makeLedger()
    ledger.apply(0, lost('e1'))
    ledger.apply(0, lost('e2'))
    ledger.apply(5, crashed('e1'))
    ledger.apply(5, crashed('e2'))
    const other = makeLedger()
    for (const loss of ledger.all(10).lost) other.apply(10, loss)
    assert.equal(other.standing(TASK), CrashSuspicion.Culprit)
    assert.deepEqual(other.endpointsOf(TASK), ['e1', 'e2'])
  })

  it('keeps only the tasks that the latest leader reported', () => {
    const ledger = makeLedger()
    ledger.apply(0, lost('e1', { tasks: [TASK, 'k.0.0.0'] }))
    ledger.apply(1, lost('e1', { tasks: ['k.0.0.0'], term: 2 }))
    assert.equal(ledger.apply(2, lost('e1')), false)
    assert.equal(ledger.standing(TASK), CrashSuspicion.Clear)
    assert.equal(ledger.standing('k.0.0.0'), CrashSuspicion.Suspect)
  })

  it('does not blame a crash on a task whose order to start was not answered', () => {
    const ledger = makeLedger()
    for (const endpoint of ['e1', 'e2']) {
      ledger.apply(0, lost(endpoint, { unconfirmed: endpoint === 'e2' ? [TASK] : [] }))
      ledger.apply(1, crashed(endpoint))
    }
    assert.equal(ledger.standing(TASK), CrashSuspicion.Suspect)
  })

  it('suspects no task when all remaining endpoints of a rack were lost', () => {
    const ledger = makeLedger()
    for (const endpoint of ['e1', 'e2']) {
      const groups = [{ name: 'rack', size: 2, silent: 2 }]
      ledger.apply(0, { ...lost(endpoint), groups: groups.map(asGroup) })
      ledger.apply(1, crashed(endpoint))
    }
    assert.equal(ledger.standing(TASK), CrashSuspicion.Clear)
  })

  it('removes losses after the retention period', () => {
    const ledger = makeLedger()
    ledger.apply(0, lost('e1'))
    ledger.apply(RETENTION_MS, lost('e2', { tasks: ['other.0.0.0'] }))
    assert.equal(ledger.standing(TASK), CrashSuspicion.Clear)
  })

  it('suspects tasks that an endpoint was given after the first report of its loss', () => {
    const ledger = makeLedger()
    ledger.apply(0, lost('e1', { tasks: ['k.0.0.0'] }))
    assert.equal(ledger.apply(5, lost('e1')), true)
    assert.equal(ledger.standing(TASK), CrashSuspicion.Suspect)
    assert.equal(ledger.standing('k.0.0.0'), CrashSuspicion.Suspect)
  })
})
