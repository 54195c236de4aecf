import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { JobVerdict } from '@cherryhitch/protocol'
import { DispatchSimulation } from '../soak/DispatchSimulation'

describe('a job whose tasks need no CPU and no memory', () => {
  it('is served alongside others', () => {
    const world = new DispatchSimulation({
      leaders: 1,
      endpoints: 2,
      placesEach: 4,
      random: () => 0.5,
      runMs: 60,
    })
    world.elect(0, 0)
    world.run(1_500)
    world.submit('a', 4)
    world.submit('b', 3, { isWeightless: true })
    world.run(1_000)
    assert.equal(world.outcomes.get('a')?.verdict, JobVerdict.COMPLETED)
    assert.equal(world.outcomes.get('b')?.verdict, JobVerdict.COMPLETED)
  })
})
