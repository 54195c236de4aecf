import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { Outcome, Reason } from '@cherryhitch/protocol'
import fc from 'fast-check'
import { RunResultKind } from './endpointResults'
import { JOB, OwnerFixture } from './fixtures/OwnerFixture'
import { OwnerGroupSimulation } from './fixtures/OwnerGroupSimulation'
import { OwnerSimulation } from './fixtures/OwnerSimulation'
import { OwnerActionKind } from './OwnerAction'
import { OwnerEventKind } from './OwnerEvent'

/** Steps of a random run; ordinary steps are more frequent than faults. */
const steps = [
  ...Array<'place'>(3).fill('place'),
  ...Array<'deliver'>(5).fill('deliver'),
  ...Array<'finish'>(4).fill('finish'),
  ...Array<'wait'>(3).fill('wait'),
  ...Array<'control'>(4).fill('control'),
  ...Array<'beat'>(4).fill('beat'),
  ...Array<'breakRequest'>(2).fill('breakRequest'),
  'ghostArrives',
  'cancel',
  'restart',
  'repeat',
  'repeat',
  'placeAgain',
  'changePreset',
] as const

const RUNS = Number(process.env.OWNER_PROPERTY_RUNS ?? 300)
/** Number of jobs, of one task each, in a run with several owners. */
const JOBS = 100
const SEED = Number(process.env.OWNER_PROPERTY_SEED ?? 20_261_202)

describe('an owner under random events', () => {
  it('starts no task twice, and reports each placed task once and with its true outcome', () => {
    const step = fc.record({ name: fc.constantFrom(...steps), draw: fc.nat(10_000) })
    const run = fc.property(fc.array(step, { minLength: 20, maxLength: 200 }), (sequence) => {
      const simulation = new OwnerSimulation()
      for (const { name, draw } of sequence) simulation[name](draw)
      simulation.settle()
      assert.equal(simulation.owner.machine.tasks, 0)
      simulation.check()
    })
    fc.assert(run, { seed: SEED, numRuns: RUNS })
  })
})

describe('owners that join and drain', () => {
  it('run each task once, and never exceed the slots of an endpoint', () => {
    const run = fc.property(fc.nat(), fc.constantFrom(1, 4), (seed, shards) => {
      const group = new OwnerGroupSimulation(seed, shards)
      group.runUntil(1500)
      for (let job = 0; job < JOBS; job++) {
        group.place(`c1.1.${job.toString(36)}`)
        if (job % 20 === 0) group.toggleDraining()
        group.runUntil(group.now + 60)
      }
      group.runUntil(group.now + 20_000)
      assert.deepEqual([group.succeeded, group.starts.size, group.refused], [JOBS, JOBS, 0])
      assert.ok([...group.starts.values()].every((starts) => starts === 1))
    })
    fc.assert(run, { seed: SEED, numRuns: RUNS / 10 })
  })
})

describe('an owner whose zone is drained', () => {
  it('starts nothing, and returns queued tasks as not run; what runs goes on', () => {
    const owner = new OwnerFixture()
    owner.heartbeat({ slots: 1 })
    owner.place([0, 1])
    const running = owner.runOf()
    owner.step({ kind: OwnerEventKind.ZoneDrain, drained: true })
    assert.deepEqual(owner.machine.summaries(owner.now), [])
    owner.place([2])
    for (const task of [1, 2]) {
      const [report] = owner.reportsOn(task)
      assert.deepEqual([report?.outcome, report?.reason], [Outcome.NOT_RUN, Reason.DRAINING])
    }
    owner.end(running, RunResultKind.Succeeded)
    assert.equal(owner.reportsOn(0)[0]?.outcome, Outcome.SUCCEEDED)
    assert.equal(owner.openRuns.length, 0)
  })

  it('starts tasks again once the zone is restored', () => {
    const owner = new OwnerFixture()
    owner.heartbeat({ slots: 1 })
    owner.step({ kind: OwnerEventKind.ZoneDrain, drained: true })
    owner.step({ kind: OwnerEventKind.ZoneDrain, drained: false })
    assert.equal(owner.machine.summaries(owner.now)[0]?.freeSlots, 1)
    owner.place([0])
    assert.equal(owner.openRuns.length, 1)
  })
})

describe('spans', () => {
  it('cover the time in the queue and the run, and the endpoint gets the span of the run', () => {
    const owner = new OwnerFixture()
    owner.heartbeat({ slots: 1 })
    owner.place([0, 1])
    const { traceparent } = owner.runOf()
    owner.now += 200
    owner.end(owner.runOf(), RunResultKind.Succeeded)
    owner.end(owner.runOf(`${JOB}.1`), RunResultKind.Failed)
    const spans = owner.actionsOf(OwnerActionKind.Span).map(({ span }) => span)
    const run = spans.find(({ name }) => name === 'owner.run')
    assert.equal(traceparent, `00-${'a'.repeat(32)}-${run?.spanId}-01`)
    assert.deepEqual([run?.endMs, run?.startMs, run?.ok], [1200, 1000, true])
    assert.equal(new Set(spans.map(({ spanId }) => spanId)).size, 4)
    assert.deepEqual([...new Set(spans.map(({ parentSpanId }) => parentSpanId))], ['b'.repeat(16)])
    const waits = spans.filter(({ name }) => name === 'owner.queue')
    assert.deepEqual(
      waits.map(({ startMs, endMs }) => endMs - startMs),
      [0, 200],
    )
  })
})

describe('service summaries', () => {
  it('are announced when free slots appear, run out, or change by more than a quarter', () => {
    const owner = new OwnerFixture()
    const announced = (): number => owner.actionsOf(OwnerActionKind.SummaryChanged).length
    owner.heartbeat()
    owner.advance(100)
    assert.equal(announced(), 1)
    owner.place([0])
    owner.advanceWithHeartbeats(200, {})
    assert.equal(announced(), 1, 'a change of one in eight slots is not announced')
    owner.place([1, 2, 3, 4, 5, 6, 7])
    owner.advance(100)
    assert.equal(announced(), 2)
    owner.end(owner.runOf(), RunResultKind.Succeeded)
    owner.advance(100)
    assert.equal(announced(), 3)
  })

  it('predict the wait from the queued work', () => {
    const owner = new OwnerFixture()
    owner.heartbeat({ slots: 2 })
    owner.place([...Array(22).keys()])
    owner.end(owner.runOf(), RunResultKind.Succeeded)
    const [summary] = owner.machine.summaries(owner.now)
    assert.deepEqual([summary?.freeSlots, summary?.queuedTasks, summary?.meanRunMs], [0, 19, 100])
    assert.equal(summary?.waitMs, 1000)
    assert.equal(owner.reportsOn()[0]?.outcome, Outcome.SUCCEEDED)
  })
})
