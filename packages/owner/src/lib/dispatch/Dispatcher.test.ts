import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { EndpointState, HealthRule, PlacementRule } from '@cherryhitch/protocol'
import { RunResultKind } from '../endpointResults'
import { JOB, makePreset, makeResult, OwnerFixture, SERVICE } from '../fixtures/OwnerFixture'

const FAST = { endpoint: 'fast', slots: 1 }
const SLOW = { endpoint: 'slow', slots: 1 }

/** An owner with two endpoints, one of which was measured to be ten times slower. */
function withStraggler(): OwnerFixture {
  const preset = makePreset({ placementRule: PlacementRule.SPREAD_FAST })
  const owner = new OwnerFixture({ preset })
  owner.heartbeat(FAST)
  owner.heartbeat(SLOW)
  for (let job = 0; job < 60; job++) {
    const jobId = `c1.2.${job.toString(36)}`
    owner.place([0, 1], { jobId })
    for (const run of [...owner.openRuns]) {
      const runMs = run.endpoint === 'slow' ? 1000 : 100
      owner.end(run, makeResult(RunResultKind.Succeeded, { runMs }))
    }
    owner.advanceWithHeartbeats(100, FAST, SLOW)
    for (const run of [...owner.openRuns]) owner.end(run, RunResultKind.Succeeded)
  }
  return owner
}

describe('dispatch', () => {
  it('holds a task back for a fast endpoint instead of starting it at a straggler', () => {
    const owner = withStraggler()
    assert.ok((owner.machine.endpoints(owner.now)[1]?.slowness ?? 0) > 2)
    owner.place([0, 1])
    assert.deepEqual(
      owner.openRuns.map(({ endpoint }) => endpoint),
      ['fast'],
    )
    owner.end(owner.openRuns[0] ?? owner.runOf(), RunResultKind.Succeeded)
    assert.deepEqual(
      owner.openRuns.map(({ endpoint }) => endpoint),
      ['fast'],
    )
  })

  it('starts at the straggler when no fast endpoint is left', () => {
    const owner = withStraggler()
    owner.heartbeat({ ...FAST, state: EndpointState.LEAVING })
    owner.place([0])
    assert.equal(owner.runOf().endpoint, 'slow')
  })

  it('ejects an endpoint at which every task fails', () => {
    const preset = makePreset({ healthRule: HealthRule.CONSECUTIVE })
    const owner = new OwnerFixture({ preset })
    const endpoints = ['bad', 'good1', 'good2'].map((endpoint) => ({ endpoint }))
    for (const endpoint of endpoints) owner.heartbeat(endpoint)
    for (let job = 0; job < 100; job++) {
      owner.place([0], { jobId: `c1.2.${job.toString(36)}` })
      for (const run of [...owner.openRuns]) {
        const bad = run.endpoint === 'bad'
        owner.end(run, bad ? RunResultKind.Failed : RunResultKind.Succeeded)
      }
    }
    assert.ok(owner.machine.counters.failed < 20)
    assert.equal(owner.machine.summaries(owner.now)[0]?.ejectedEndpoints, 1)
  })

  it('is not blocked by a task at the head of the queue that fits nowhere now', () => {
    const owner = new OwnerFixture()
    owner.heartbeat()
    const spec = { service: SERVICE, payload: '1', resources: { cores: 20 } }
    owner.place([0, 1], { spec })
    owner.place([0], { jobId: 'c1.1.2' })
    assert.deepEqual(
      owner.openRuns.map(({ taskId }) => taskId),
      [`${JOB}.0`, 'c1.1.2.0'],
    )
  })
})
