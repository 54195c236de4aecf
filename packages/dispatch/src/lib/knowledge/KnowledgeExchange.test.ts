import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { fromBinary, toBinary } from '@bufbuild/protobuf'
import { Mechanism } from '@cherryhitch/model'
import { LeaderHintsSchema } from '@cherryhitch/protocol'
import type { LeaderHints } from '@cherryhitch/protocol'
import { DispatchActionKind } from '../DispatchAction'
import { DispatchCore } from '../DispatchCore'
import { decodeHints } from './decodeHints'
import { encodeHints, HINTS_VERSION } from './encodeHints'
import { KnowledgeExchange } from './KnowledgeExchange'
import { MAX_HINTS_BYTES } from './KnowledgeSender'
import type { LearntSamples } from './LearntSamples'

const SERVICE = 'quotes'
const model = { count: 10, center: 4, variance: 0.1 }
const errors = { absoluteError: 0.1, ratioError: 0.1, comparisons: 5 }

function runTime(service: string, center = 4, ageMs = 0) {
  const [absolute, ratio] = [{ ...model, center }, model]
  return { caller: 'desk', service, ageMs, absolute, ratio, ...errors }
}

function speed(endpoint: string, logRatio = 0.5) {
  return { endpoint, service: SERVICE, runs: 8, logRatio }
}

function open(without: Mechanism[] = []) {
  const core = new DispatchCore({ without })
  const exchange = new KnowledgeExchange(core)
  const logged = (): string[] => {
    return core.takeActions().flatMap((action) => {
      return action.kind === DispatchActionKind.Log ? action.message : []
    })
  }
  return { core, exchange, logged, heard: () => exchange.heard(0) }
}

function hintsOf(term: number, samples: Partial<LearntSamples>): LeaderHints {
  return encodeHints(term, { runTimes: [], speeds: [], ...samples })
}

/** A leader that has learnt the speeds of some endpoints. */
function openLeader(endpoints: number, without: Mechanism[] = []) {
  const leader = open(without)
  leader.core.term = 1
  leader.exchange.takeOver(0)
  const ids = Array.from({ length: endpoints }, (_, i) => `worker-${i}.zone-a.example~1781`)
  for (const endpoint of ids) {
    const run = { endpoint, service: SERVICE, estimateMs: 100, runMs: 160 }
    leader.core.slowness.observe(0, run)
  }
  leader.core.estimator.observe(0, { caller: 'desk', service: SERVICE, declaredMs: 100 }, 160)
  const sent = (now: number): LeaderHints[] => {
    leader.exchange.tick(now)
    return leader.core.takeActions().flatMap((action) => {
      return action.kind === DispatchActionKind.BroadcastHints ? action.hints : []
    })
  }
  return { ...leader, ids, sent }
}

describe('what a leader of 540 endpoints sends', () => {
  it('stays within the bound of bytes, and tells all of them in turn', () => {
    const { ids, sent } = openLeader(540)
    const told = new Set<string>()
    for (let now = 0; now < 4_000; now += 10) {
      for (const message of sent(now)) {
        assert.ok(toBinary(LeaderHintsSchema, message).length <= MAX_HINTS_BYTES)
        for (const { endpoint } of decodeHints(message)?.speeds ?? []) told.add(endpoint)
      }
    }
    assert.equal(told.size, ids.length)
  })

  it('covers thousands of endpoints too, a part of them in each message', () => {
    const { sent } = openLeader(5_000)
    const told = new Set<string>()
    for (let now = 0; now < 60_000; now += 100) {
      for (const message of sent(now)) {
        for (const { endpoint } of decodeHints(message)?.speeds ?? []) told.add(endpoint)
      }
    }
    assert.ok(told.size > 4_500, `${told.size} endpoints`)
  })

  it('comes at most twice a second, and an unchanged entry at most once in 5 s', () => {
    const { sent } = openLeader(3)
    const messages: LeaderHints[] = []
    for (let now = 0; now < 5_400; now += 10) messages.push(...sent(now))
    assert.equal(messages.length, 1)
    assert.equal(messages.flatMap((message) => decodeHints(message)?.speeds ?? []).length, 3)
    for (let now = 5_400; now < 6_400; now += 10) messages.push(...sent(now))
    assert.equal(messages.length, 2)
  })

  it('is nothing where the mechanism is disabled', () => {
    const { sent } = openLeader(3, [Mechanism.LeaderKnowledge])
    assert.deepEqual([600, 6_000].flatMap(sent), [])
  })
})

describe('what an instance hears', () => {
  const wrong = [
    ['not a number', { runs: NaN }],
    ['not finite', { logRatio: Infinity }],
    ['a negative weight', { runs: -1 }],
    ['an enormous weight', { runs: 1e30 }],
    ['an enormous speed', { logRatio: -500 }],
    ['a key of 10,000 characters', { endpoint: 'e'.repeat(10_000) }],
    ['no endpoint', { endpoint: '' }],
  ] as const
  for (const [what, change] of wrong) {
    it(`loses nothing else by a speed with ${what}`, () => {
      const { core, exchange, logged, heard } = open()
      const speeds = [speed('a'), { ...speed('b'), ...change }, speed('c')]
      const bytes = toBinary(LeaderHintsSchema, hintsOf(1, { speeds }))
      exchange.onHints(0, fromBinary(LeaderHintsSchema, bytes))
      assert.deepEqual(
        heard().speeds.map(({ endpoint }) => endpoint),
        ['a', 'c'],
      )
      assert.equal(core.counters.hints_dropped, 1)
      assert.deepEqual(logged(), ['dropped implausible hints'])
    })
  }

  const wrongTimes = [
    ['a negative age', { ageMs: -1 }],
    ['an age of a day', { ageMs: 86_400_000 }],
    ['no model', { absolute: { ...model, count: 0 } }],
    ['a variance that is not a number', { ratio: { ...model, variance: NaN } }],
    ['an enormous run time', { absolute: { ...model, center: 700 } }],
    ['a negative error', { ratioError: -1 }],
    ['a route of 10,000 characters', { caller: 'r'.repeat(10_000) }],
  ] as const
  for (const [what, change] of wrongTimes) {
    it(`loses nothing else by run times with ${what}`, () => {
      const { core, exchange, heard } = open()
      const runTimes = [{ ...runTime('a'), ...change }, runTime('b')]
      const bytes = toBinary(LeaderHintsSchema, hintsOf(1, { runTimes }))
      exchange.onHints(0, fromBinary(LeaderHintsSchema, bytes))
      assert.deepEqual(
        heard().runTimes.map(({ service }) => service),
        ['b'],
      )
      assert.equal(core.counters.hints_dropped, 1)
    })
  }

  it('is bounded by message, and logged at most once a second', () => {
    const { core, exchange, logged, heard } = open()
    const speeds = Array.from({ length: 1_500 }, (_, i) => speed(`e${i}`))
    exchange.onHints(0, hintsOf(1, { speeds }))
    exchange.onHints(1, hintsOf(1, { speeds }))
    assert.equal(heard().speeds.length, 1_000)
    assert.equal(core.counters.hints_dropped, 1_000)
    assert.equal(logged().length, 1)
  })

  it('is ignored if its version or its term is unknown, or its text unreadable', () => {
    const { core, exchange, heard } = open()
    const known = hintsOf(1, { speeds: [speed('a')] })
    const versions = [0, HINTS_VERSION + 1].map((version) => ({ ...known, version }))
    const terms = [NaN, -1, 1.5, 1e300].map((term) => ({ ...known, term, version: HINTS_VERSION }))
    const texts = ['', 'null', '{}', '[1]', '[[],{}]', '[[]', `[[],[${'1,'.repeat(65_536)}1]]`]
    const unreadable = texts.map((entries) => ({ ...known, entries }))
    for (const message of [...versions, ...terms, ...unreadable]) exchange.onHints(0, message)
    assert.deepEqual(heard().speeds, [])
    assert.equal(core.counters.hints_dropped, 13)
  })

  it('loses nothing else by rows of other types', () => {
    const { core, exchange, heard } = open()
    const rows = [null, 1, 'a', {}, [], ['a'], [1, 's', 1, 1], ['a', null, 1, 1]]
    const good = ['a', SERVICE, 8, 0.5]
    const entries = JSON.stringify([rows, [...rows, good]])
    exchange.onHints(0, { ...hintsOf(1, {}), entries })
    assert.deepEqual(heard(), { runTimes: [], speeds: [speed('a')] })
    assert.equal(core.counters.hints_dropped, 2 * rows.length)
  })

  it('of a later term is not replaced by an earlier leader that speaks late', () => {
    const { core, exchange, heard } = open()
    exchange.onHints(0, hintsOf(2, { speeds: [speed('a', 0.5)], runTimes: [runTime('x', 5, 900)] }))
    const late = { speeds: [speed('a', 0), speed('b', 1)], runTimes: [runTime('x', 3, 0)] }
    exchange.onHints(0, hintsOf(1, late))
    assert.deepEqual(heard().speeds, [speed('a', 0.5), speed('b', 1)])
    assert.equal(heard().runTimes[0]?.absolute.center, 5)
    assert.equal(core.counters.hints_outdated, 2)
  })

  it('does not reach the estimates of a leader, whoever sends it', () => {
    const { core, exchange } = open()
    core.term = 3
    exchange.takeOver(0)
    for (const term of [2, 3]) exchange.onHints(0, hintsOf(term, { runTimes: [runTime(SERVICE)] }))
    assert.deepEqual(core.estimator.snapshot(0), [])
    assert.equal(core.counters.hints_outdated, 2)
  })
})

describe('an instance that becomes leader', () => {
  it('starts from what it heard, and leaves out what is older than 10 minutes', () => {
    const { core, exchange, logged } = open()
    exchange.onHints(0, hintsOf(1, { runTimes: [runTime('old', 6)] }))
    exchange.onHints(400_000, hintsOf(1, { runTimes: [runTime('young', 6)] }))
    exchange.takeOver(601_000)
    const estimate = (service: string): number => {
      return Math.round(core.estimator.estimate({ caller: 'desk', service, declaredMs: 50 }))
    }
    assert.equal(estimate('old'), 50)
    assert.ok(estimate('young') > 150, `${estimate('young')} ms`)
    assert.equal(core.counters.hints_taken_over, 1)
    assert.deepEqual(logged(), ['took over what earlier leaders have learnt'])
  })

  it('keeps no speeds of endpoints that it does not know', () => {
    const { core, exchange } = open()
    exchange.onHints(0, hintsOf(1, { speeds: [speed('gone')] }))
    exchange.takeOver(0)
    assert.deepEqual(core.slowness.snapshot(0), [])
  })
})
