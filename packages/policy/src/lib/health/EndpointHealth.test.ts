import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import fc from 'fast-check'
import {
  ConsecutiveFailureHealth,
  DecayedScoreHealth,
  HealthFailure,
  HealthState,
} from '../../index'
import type { EndpointHealth } from '../../index'
import { HealthSimulation } from '../bench/simulateHealth'
import type { HealthScenario } from '../bench/simulateHealth'

const rules: Record<string, () => EndpointHealth> = {
  ConsecutiveFailureHealth: () => new ConsecutiveFailureHealth(),
  DecayedScoreHealth: () => new DecayedScoreHealth(),
}

const scenario: HealthScenario = {
  endpoints: 11,
  slotsEach: 8,
  load: 0.6,
  endMs: 40_000,
  seed: 8,
  bad: 1,
  badShare: () => 1,
  failMs: 5,
  refuses: false,
  noise: 0.002,
  poison: 0,
}

for (const [name, make] of Object.entries(rules)) {
  const withEndpoints = (count: number): EndpointHealth => {
    const health = make()
    for (let n = 0; n < count; n++) health.add(`e${n}`, 's')
    return health
  }
  const see = (endpoint: string, jobId: string) => ({ endpoint, service: 's', jobId })
  const failJobs = (health: EndpointHealth, now: number, endpoint: string, jobs: number): void => {
    for (let n = 0; n < jobs; n++) {
      health.recordFailure(now, see(endpoint, `${endpoint}-${now}-${n}`), HealthFailure.TaskFailed)
    }
  }

  describe(name, () => {
    it('ejects an endpoint that fails many jobs and restores it after probation', () => {
      const health = withEndpoints(4)
      failJobs(health, 0, 'e0', 6)
      assert.equal(health.state(1, 'e0'), HealthState.Ejected)
      assert.equal(health.state(1, 'e1'), HealthState.Healthy)
      assert.equal(health.state(5001, 'e0'), HealthState.Probation)
      for (let n = 0; n < 3; n++) health.recordSuccess(5002, see('e0', `back${n}`), 100)
      assert.equal(health.state(5003, 'e0'), HealthState.Healthy)
    })

    it('ejects for longer each time', () => {
      const health = withEndpoints(4)
      failJobs(health, 0, 'e0', 6)
      failJobs(health, 5001, 'e0', 1)
      assert.equal(health.state(5001 + 5001, 'e0'), HealthState.Ejected)
      assert.equal(health.state(5001 + 60_000, 'e0'), HealthState.Probation)
    })

    it('does not eject an endpoint for one job, however many of its tasks fail', () => {
      const health = withEndpoints(4)
      for (let n = 0; n < 50; n++) {
        health.recordFailure(n, see('e0', 'one'), HealthFailure.TaskFailed)
      }
      assert.equal(health.state(51, 'e0'), HealthState.Healthy)
    })

    it('ignores the failures of a job at all endpoints once it has failed at two', () => {
      const health = withEndpoints(4)
      for (const jobId of ['p0', 'p1', 'p2', 'p3', 'p4', 'p5', 'p6']) {
        health.recordFailure(1, see('e0', jobId), HealthFailure.TaskFailed)
        health.recordFailure(2, see('e1', jobId), HealthFailure.TaskFailed)
      }
      assert.equal(health.state(3, 'e0'), HealthState.Healthy)
    })

    it('ejects an endpoint that keeps refusing the tasks of a few jobs', () => {
      const health = withEndpoints(4)
      for (let n = 0; n < 20; n++) {
        health.recordFailure(n, see('e0', `j${n % 3}`), HealthFailure.Refused)
      }
      assert.equal(health.state(21, 'e0'), HealthState.Ejected)
    })

    for (const endpoints of [1, 2, 3, 5]) {
      it(`leaves capacity when all ${endpoints} endpoints of a service fail`, () => {
        const health = withEndpoints(endpoints)
        for (let now = 0; now < 2000; now += 10) {
          for (let n = 0; n < endpoints; n++) failJobs(health, now, `e${n}`, 1)
        }
        const states = Array.from({ length: endpoints }, (_, n) => health.state(2000, `e${n}`))
        assert.ok(states.includes(HealthState.Healthy), states.join())
      })
    }

    it('never ejects more than half of a service, whatever happens', () => {
      const event = fc.record({
        endpoint: fc.integer({ min: 0, max: 6 }),
        job: fc.integer({ min: 0, max: 40 }),
        kind: fc.constantFrom('fail', 'fail', 'fail', 'lost', 'refused', 'ok', 'add', 'remove'),
        waitMs: fc.constantFrom(0, 1, 50, 6000),
      })
      fc.assert(
        fc.property(fc.array(event, { maxLength: 300 }), (events) => {
          const health = withEndpoints(5)
          const known = new Set(['e0', 'e1', 'e2', 'e3', 'e4'])
          let now = 0
          for (const { endpoint, job, kind, waitMs } of events) {
            now += waitMs
            const name = `e${endpoint}`
            const seen = see(name, `j${job}`)
            if (kind === 'add') health.add(name, 's')
            if (kind === 'add') known.add(name)
            if (kind === 'remove') health.remove(name)
            if (kind === 'remove') known.delete(name)
            if (kind === 'ok') health.recordSuccess(now, seen, 100)
            if (kind === 'fail') health.recordFailure(now, seen, HealthFailure.TaskFailed)
            if (kind === 'lost') health.recordFailure(now, seen, HealthFailure.Lost)
            if (kind === 'refused') health.recordFailure(now, seen, HealthFailure.Refused)
            const ejected = [...known].filter(
              (one) => health.state(now, one) === HealthState.Ejected,
            )
            assert.ok(ejected.length <= known.size / 2)
          }
        }),
        { seed: 20263, numRuns: 200 },
      )
    })

    const runs: [string, Partial<HealthScenario>, (run: HealthSimulation['outcome']) => boolean][] =
      [
        ['an endpoint that attracts work by failing fast', {}, (run) => run.badFailures < 60],
        ['an endpoint that fails slowly', { failMs: 2000 }, (run) => run.badFailures < 60],
        [
          'three of eleven endpoints that fail every task',
          { bad: 3 },
          (run) => run.badFailures < 200,
        ],
      ]
    for (const [what, part, isBounded] of runs) {
      it(`bounds the number of tasks lost to ${what}`, () => {
        const outcome = new HealthSimulation({ ...scenario, ...part }, make()).run()
        assert.equal(outcome.ejectedAfterMs.length, part.bad ?? 1)
        assert.equal(outcome.falseEjections, 0)
        assert.ok(isBounded(outcome), `${outcome.badFailures} failures`)
      })
    }

    for (const [what, part] of Object.entries({
      'jobs that fail everywhere': { bad: 0, poison: 0.3 },
      'failures spread evenly over all endpoints': { bad: 0, noise: 0.1 },
    })) {
      it(`ejects no endpoint for ${what}`, () => {
        const outcome = new HealthSimulation({ ...scenario, ...part }, make()).run()
        assert.ok(outcome.failedJobs > 0)
        assert.equal(outcome.falseEjections, 0)
      })
    }
  })
}

it('the decayed score detects an endpoint that fails half of its tasks', () => {
  const half = { ...scenario, badShare: () => 0.5, failMs: 100 }
  const decayed = new HealthSimulation(half, new DecayedScoreHealth()).run()
  const consecutive = new HealthSimulation(half, new ConsecutiveFailureHealth()).run()
  assert.equal(decayed.ejectedAfterMs.length, 1)
  assert.ok(decayed.badFailures < consecutive.badFailures)
})
