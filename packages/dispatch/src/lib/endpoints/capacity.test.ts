import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { seededRandom } from '@cherryhitch/model'
import { DispatchSimulation } from '../soak/DispatchSimulation'
import type { SimulatedEndpoint } from '../soak/SimulatedEndpoint'

const PLACES = 4
/** Heartbeat interval plus network latency, in milliseconds. */
const NOTICED_MS = 1_600

/**
 * Endpoints that do not enforce their capacity, loaded with more jobs than they have places for.
 */
function openWorld(seed: number) {
  const world = new DispatchSimulation({
    leaders: 2,
    endpoints: 2,
    placesEach: PLACES,
    random: seededRandom(seed),
    guardsPlaces: false,
    runMs: 150,
    chances: { lostAnswer: 0.02 },
  })
  world.elect(0, 0)
  world.run(200)
  let jobs = 0
  const load = (ms: number): void => {
    for (let passed = 0; passed < ms; passed += 20) {
      world.submit(`j${jobs++}`, 2, { deadlineMs: 1_500, estimateMs: 150 })
      world.run(20)
    }
  }
  return { world, load }
}

/** Tracks the maximum number of runs at an endpoint, measured at each start from now on. */
function watchStarts(endpoint: SimulatedEndpoint): { most: number } {
  const seen = { most: 0 }
  const { onStart } = endpoint
  endpoint.onStart = (run, isLate) => {
    seen.most = Math.max(seen.most, endpoint.running.size)
    onStart(run, isLate)
  }
  return seen
}

describe('an endpoint whose capacity changes while it runs', () => {
  for (let seed = 1; seed <= 10; seed++) {
    it(`is never loaded beyond the capacity it announces but does not enforce, seed ${seed}`, () => {
      const { world, load } = openWorld(seed)
      const [endpoint] = world.endpoints
      assert.ok(endpoint !== undefined)
      load(1_000)
      endpoint.places = 1
      load(NOTICED_MS)
      const small = watchStarts(endpoint)
      load(2_000)
      assert.equal(small.most, 1)
      endpoint.places = PLACES
      load(NOTICED_MS)
      const grown = watchStarts(endpoint)
      load(1_000)
      assert.equal(grown.most, PLACES)
      assert.deepEqual(world.violations, [])
    })
  }

  it('keeps its capacity across a change of leader', () => {
    const { world, load } = openWorld(11)
    const [endpoint] = world.endpoints
    assert.ok(endpoint !== undefined)
    endpoint.places = 1
    load(NOTICED_MS)
    const seen = watchStarts(endpoint)
    world.elect(1, 500)
    load(2_000)
    assert.equal(seen.most, 1)
  })
})
