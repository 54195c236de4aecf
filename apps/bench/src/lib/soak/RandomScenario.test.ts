import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { deployments, placeEndpoints, placeInstances } from '@cherryhitch/stand-ins'
import { Effect } from 'effect'
import { BenchSystem } from '../system/BenchSystem'
import { Daemon } from '../system/Daemon'
import { RandomScenario } from './RandomScenario'

const DURATION_MS = 18_000
const ports = { callers: 1, endpoints: 2, operators: 3, instances: 4 }

function makeSystem(): BenchSystem {
  const deployment = deployments.kitaura
  const places = placeInstances(deployment).map((each) => ({ ...each, ...ports, voter: false }))
  const daemons = places.map((place) => new Daemon(place, '', '', ''))
  const endpoints = placeEndpoints(deployment)
  // Nothing is asked of the links, since no event is carried out here.
  const links = { ask: () => Effect.die('not asked'), close: () => undefined }
  const content = {
    deployment,
    places,
    daemons,
    endpoints,
    endpointChildren: new Map(),
    folder: '',
  }
  return new BenchSystem({ ...content, links: links as never })
}

function describeEvents(seed: number): readonly string[] {
  const scenario = new RandomScenario(seed)
  const workload = JSON.stringify(scenario.workload(DURATION_MS))
  const events = scenario.events(makeSystem(), DURATION_MS)
  return [workload, ...events.map(({ atMs, name }) => `${Math.round(atMs)} ${name}`)]
}

const beginnings = ['kill ', 'hang ', 'leave ', 'crash ', 'freeze ', 'cut ', 'set ', 'shut down ']

describe('drawn faults', () => {
  it('are the same for the same seed, and others for another', () => {
    assert.deepEqual(describeEvents(1), describeEvents(1))
    assert.notDeepEqual(describeEvents(1), describeEvents(2))
  })

  it('are of every kind, over some seeds', () => {
    const names = Array.from({ length: 60 }, (_, seed) => describeEvents(seed)).flat()
    for (const beginning of beginnings) {
      assert.ok(
        names.some((line) => line.includes(` ${beginning}`)),
        `no ${beginning}in 60 seeds`,
      )
    }
  })

  it('are over before the end, so that a run shows whether the system recovers', () => {
    for (let seed = 0; seed < 60; seed++) {
      const events = new RandomScenario(seed).events(makeSystem(), DURATION_MS)
      const faults = events.filter(({ name }) => !name.startsWith('await '))
      assert.ok(faults.every(({ atMs }) => atMs <= 0.75 * DURATION_MS))
    }
  })
})
