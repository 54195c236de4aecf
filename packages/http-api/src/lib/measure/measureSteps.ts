/**
 * Benchmarks the individual steps of `POST /v1/jobs`, without network I/O.
 *
 * Run: npx tsx packages/http-api/src/lib/measure/measureSteps.ts
 */
import { performance } from 'node:perf_hooks'
import { Effect } from 'effect'
import { answerReply } from '../callers/answerReply'
import { createJobSpec } from '../callers/createJobSpec'
import { jobBodySchema } from '../callers/jobBody'
import { bodyDecoder } from '../exchange/decodeBody'
import { parseJson } from '../exchange/parseJson'
import { succeeded } from '../fixtures/FakeServices'
import { defaultHttpLimits } from '../server/HttpServerOptions'

const TASKS = [1, 100]
const ITERATIONS = 40_000
const ROUNDS = 5
const MICROS = 1000
const note = 'x'.repeat(120)
const context = {
  caller: 'desk',
  submissionKey: '',
  traceparent: '',
  defaultDeadlineMs: 1000,
  waitedMs: 0,
}

/** Lowest mean of several rounds, since other load on the machine only adds time. */
function measure(iterations: number, step: () => unknown): number {
  let best = Infinity
  for (let round = 0; round < ROUNDS; round++) {
    const startedAt = performance.now()
    for (let i = 0; i < iterations; i++) step()
    best = Math.min(best, ((performance.now() - startedAt) / iterations) * MICROS)
  }
  return best
}

for (const tasks of TASKS) {
  const payload = { policy: 'GJ-2291-0047', lodgedWith: null, note }
  const list = Array.from({ length: tasks }, () => ({ service: 'claims', payload, cores: 1 }))
  const text = JSON.stringify({ idempotent: true, deadlineMs: 2000, tasks: list })
  const { nestingDepth } = defaultHttpLimits
  const decode = bodyDecoder(jobBodySchema(defaultHttpLimits), nestingDepth)
  const body = decode(text).unwrap()
  const answer = succeeded(list.map(() => JSON.stringify(payload)))
  const steps: Readonly<Record<string, () => unknown>> = {
    'JSON.parse alone': () => JSON.parse(text) as unknown,
    'parse and look for numbers too large': () => parseJson(text, nestingDepth),
    'parse and check against the schema': () => decode(text),
    'make the message': () => createJobSpec(body, context),
    'fork a fiber': () => Effect.runFork(Effect.void),
    'write the answer': () => answerReply(answer),
    'parse the outputs (not done)': () =>
      answer.outputs.map((output) => JSON.parse(output) as unknown),
  }
  for (const [name, step] of Object.entries(steps)) {
    console.log(`${tasks} tasks, ${name}: ${measure(ITERATIONS / tasks, step).toFixed(1)} µs`)
  }
}
