import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { create } from '@bufbuild/protobuf'
import { PlaceTasksSchema } from '@cherryhitch/protocol'
import { JOB, OwnerFixture, SERVICE } from '../fixtures/OwnerFixture'

function makePlacement(ownerBoot: number) {
  return create(PlaceTasksSchema, {
    jobId: JOB,
    deadlineInMs: 30_000,
    tasks: [{ index: 0, estimateMs: 100, spec: { service: SERVICE, payload: '{}' } }],
    coordinator: 'c1',
    ownerBoot,
  })
}

describe('Placement', () => {
  const boots = [
    { name: 'this process', boot: 2, runs: 1 },
    { name: 'an earlier process, which may have started it', boot: 1, runs: 0 },
    { name: 'a later process', boot: 3, runs: 0 },
    { name: 'any process', boot: 0, runs: 1 },
  ]
  for (const { name, boot, runs } of boots) {
    it(`dispatches ${runs} of 1 task addressed to ${name}`, () => {
      const owner = new OwnerFixture({ boot: 2 })
      owner.heartbeat()
      owner.message({ case: 'placeTasks', value: makePlacement(boot) })
      assert.equal(owner.openRuns.length, runs)
      assert.equal(owner.machine.counters.misdirectedPlacements, 1 - runs)
    })
  }
})
