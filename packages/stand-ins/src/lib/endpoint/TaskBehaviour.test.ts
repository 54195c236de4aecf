import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { SeededRandom } from '../util/SeededRandom'
import type { TaskBehaviour, TaskPlan } from './TaskBehaviour'
import {
  FailEveryBehaviour,
  FailureSpeed,
  FlappingBehaviour,
  NormalBehaviour,
  SlowBehaviour,
  StraggleSomeBehaviour,
} from './TaskBehaviour'

const RUN_MS = 100

const cases: [string, TaskBehaviour, number, TaskPlan][] = [
  ['runs normally', new NormalBehaviour(), 0, { runMs: 100, succeeds: true }],
  ['fails fast', new FailEveryBehaviour(FailureSpeed.Fast), 0, { runMs: 0, succeeds: false }],
  ['fails slowly', new FailEveryBehaviour(FailureSpeed.Slow), 0, { runMs: 100, succeeds: false }],
  ['is slow', new SlowBehaviour(8), 0, { runMs: 800, succeeds: true }],
  ['flaps: fails', new FlappingBehaviour(1000), 2499, { runMs: 0, succeeds: false }],
  ['flaps: runs', new FlappingBehaviour(1000), 2500, { runMs: 100, succeeds: true }],
  ['straggles always', new StraggleSomeBehaviour(1, 8), 0, { runMs: 800, succeeds: true }],
  ['straggles never', new StraggleSomeBehaviour(0, 8), 0, { runMs: 100, succeeds: true }],
]

describe('the behaviour of an endpoint', () => {
  for (const [name, behaviour, now, plan] of cases) {
    it(name, () => {
      assert.deepEqual(behaviour.plan(now, RUN_MS, new SeededRandom(1)), plan)
    })
  }
})
