/**
 * Benchmark of the accuracy of run time estimates. Run with
 * `npx tsx packages/policy/src/lib/bench/estimateBench.ts`.
 */
import { DeclaredEstimator } from '../estimates/DeclaredEstimator'
import { LearnedEstimator } from '../estimates/LearnedEstimator'
import type { RunTimeEstimator } from '../estimates/RunTimeEstimator'
import { seededRandom } from '@cherryhitch/model'
import { drawNormal } from './drawNormal'

const TASKS = 400
const SPREAD = 0.5

interface Sample {
  readonly declaredMs: number
  readonly meanMs: number
}

type Draw = (random: () => number, index: number) => Sample

const draws: Record<string, Draw> = {
  'declared correctly, same for all tasks': () => ({ declaredMs: 200, meanMs: 200 }),
  'declared correctly, differs by task': (random) => {
    const meanMs = 50 * 20 ** random()
    return { declaredMs: meanMs, meanMs }
  },
  'declared ten times too long': () => ({ declaredMs: 2000, meanMs: 200 }),
  'declared ten times too short': () => ({ declaredMs: 20, meanMs: 200 }),
  'declared ten times too long, differs by task': (random) => {
    const meanMs = 50 * 20 ** random()
    return { declaredMs: 10 * meanMs, meanMs }
  },
  'declared wrong by a random factor of up to ten': (random) => ({
    declaredMs: 200 * 100 ** (random() - 0.5),
    meanMs: 200,
  }),
  'nothing declared': () => ({ declaredMs: 0, meanMs: 700 }),
  'one task in twenty runs ten times longer': (random) => ({
    declaredMs: 200,
    meanMs: random() < 0.05 ? 2000 : 200,
  }),
  'tasks run four times longer from task 200 on': (_random, index) => ({
    declaredMs: 200,
    meanMs: index < 200 ? 200 : 800,
  }),
}

const estimators: Record<string, () => RunTimeEstimator> = {
  declared: () => new DeclaredEstimator(),
  learned: () => new LearnedEstimator(),
  'prior 3': () => new LearnedEstimator({ priorWeight: 3 }),
  'prior 10': () => new LearnedEstimator({ priorWeight: 10 }),
}

/** Geometric mean error of the estimates, as a factor, for the first and for the last tasks. */
function measure(draw: Draw, estimator: RunTimeEstimator): { early: string; late: string } {
  const random = seededRandom(5)
  const errors: number[] = []
  for (let index = 0; index < TASKS; index++) {
    const { declaredMs, meanMs } = draw(random, index)
    const subject = { caller: 'c', service: 's', declaredMs }
    errors.push(Math.abs(Math.log(estimator.estimate(subject) / meanMs)))
    const runMs = meanMs * Math.exp(SPREAD * drawNormal(random) - SPREAD ** 2 / 2)
    estimator.observe(index, subject, runMs)
  }
  const factor = (part: readonly number[]): string =>
    Math.exp(part.reduce((sum, error) => sum + error, 0) / part.length).toFixed(2)
  return { early: factor(errors.slice(0, 20)), late: factor(errors.slice(-180)) }
}

for (const [title, draw] of Object.entries(draws)) {
  console.log(`\n${title}: estimate off by a factor of`)
  console.table(
    Object.fromEntries(
      Object.entries(estimators).map(([name, make]) => [name, measure(draw, make())]),
    ),
  )
}
