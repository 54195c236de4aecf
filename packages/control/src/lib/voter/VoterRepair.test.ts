/**
 * Guards against an outage of a deployment that must tolerate the loss of two instances. Its set
 * always had three voters, so when one lost its disk and another was partitioned, there was no
 * majority, and callers were refused until one of the two came back.
 */
import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import type { SimulatedCluster } from '../soak/SimulatedCluster'
import { setPreset } from '../testing/commands'
import {
  addLearner,
  awaitLeader,
  proposeAndWait,
  resultOf,
  simulate,
  votersOf,
} from '../testing/simulation'

const both = { from: true, to: true }
const none = { from: false, to: false }
const HOSTS = ['a', 'b', 'c', 'd', 'e']
const GROWTH_MS = 10_000
const REPAIR_MS = 40_000

function countVoters(cluster: SimulatedCluster): number {
  return votersOf(cluster).filter((disk) => !disk.startsWith('(')).length
}

/** A cluster that tolerates two losses: three initial voters, and spares that join as learners. */
function simulateGroup(spares: readonly string[]): SimulatedCluster {
  const cluster = simulate({ spares, toleratedLosses: 2 })
  for (const spare of spares) addLearner(cluster, spare)
  cluster.run(GROWTH_MS)
  return cluster
}

type Loss = (cluster: SimulatedCluster, instance: string) => void

const losses: Readonly<Record<string, Loss>> = {
  killed: (cluster, instance) => {
    cluster.crash(instance)
  },
  'left without its disk': (cluster, instance) => {
    cluster.wipe(instance)
    cluster.start(instance)
  },
  'cut off': (cluster, instance) => {
    cluster.cut(instance, both)
  },
  'cut off one way': (cluster, instance) => {
    cluster.cut(instance, { from: false, to: true })
  },
}

describe('a voter set that tolerates two simultaneous losses', () => {
  it('grows from three voters to five once two learners have caught up', () => {
    const cluster = simulateGroup(['d', 'e'])
    assert.equal(countVoters(cluster), 5)
  })

  for (const spares of [[], ['d']]) {
    it(`stays at three with ${3 + spares.length} hosts: four voters tolerate no more losses`, () => {
      const cluster = simulateGroup(spares)
      assert.equal(countVoters(cluster), 3)
    })
  }

  it('keeps a sixth host as a learner', () => {
    const cluster = simulateGroup(['d', 'e', 'g'])
    assert.equal(countVoters(cluster), 5)
    assert.equal(votersOf(cluster).length, 6)
  })

  it('keeps committing after any two are lost, whether or not one of them leads', () => {
    for (const [first, loseFirst] of Object.entries(losses)) {
      for (const [second, loseSecond] of Object.entries(losses)) {
        for (const withLeader of [true, false]) {
          const cluster = simulateGroup(['d', 'e'])
          const leader = awaitLeader(cluster)
          const [one = '', other = ''] = HOSTS.filter((instance) => instance !== leader)
          proposeAndWait(cluster, leader, setPreset('before', 'peak', 1))
          loseFirst(cluster, withLeader ? leader : one)
          loseSecond(cluster, other)
          const next = awaitLeader(cluster, withLeader ? leader : undefined)
          const answer = proposeAndWait(cluster, next, setPreset('after', 'maintenance', 2))
          assert.equal(resultOf(answer), 'APPLIED', `${first}, then ${second}`)
        }
      }
    }
  })

  it('is restored to five voters after two disks are lost, and tolerates two more losses', () => {
    const cluster = simulateGroup(['d', 'e'])
    proposeAndWait(cluster, awaitLeader(cluster), setPreset('before', 'peak', 1))
    const lostDisks = ['a', 'd'].map((lost) => cluster.diskId(lost))
    for (const lost of ['a', 'd']) losses['left without its disk']?.(cluster, lost)
    awaitLeader(cluster)
    cluster.run(GROWTH_MS)
    for (const lost of ['a', 'd']) addLearner(cluster, lost)
    const isWhole = (): boolean => {
      const disks = votersOf(cluster)
      const isOld = disks.some((disk) => disk.startsWith('(') || lostDisks.includes(disk))
      return disks.length === 5 && !isOld
    }
    assert.ok(cluster.runUntil(isWhole, REPAIR_MS), votersOf(cluster).join(' '))
    for (const lost of ['b', 'e']) cluster.wipe(lost)
    const next = awaitLeader(cluster)
    assert.equal(
      resultOf(proposeAndWait(cluster, next, setPreset('after', 'maintenance', 2))),
      'APPLIED',
    )
  })

  it('keeps silent voters, whose disks hold entries that two others then lose', () => {
    const cluster = simulateGroup(['d', 'e'])
    const leader = awaitLeader(cluster)
    const [one = '', other = '', third = '', fourth = ''] = HOSTS.filter(
      (instance) => instance !== leader,
    )
    for (const silent of [one, other]) cluster.cut(silent, both)
    cluster.run(30_000)
    proposeAndWait(cluster, leader, setPreset('kept', 'peak', 1))
    for (const lost of [third, fourth]) cluster.wipe(lost)
    for (const silent of [one, other]) cluster.cut(silent, none)
    const next = awaitLeader(cluster)
    assert.equal(cluster.voter(next)?.settings?.version, 2)
    assert.equal(
      resultOf(proposeAndWait(cluster, next, setPreset('after', 'maintenance', 2))),
      'APPLIED',
    )
  })
})
