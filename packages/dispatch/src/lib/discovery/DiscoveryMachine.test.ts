import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { create } from '@bufbuild/protobuf'
import { AnnounceInstanceSchema, InstanceDirectorySchema } from '@cherryhitch/protocol'
import {
  defaultDiscoveryTiming,
  DiscoveryActionKind,
  DiscoveryEventKind,
  DiscoveryMachine,
} from './DiscoveryMachine'
import type { DiscoveryAction, DiscoveryEvent } from './DiscoveryMachine'
import { hostOf, instanceAt } from './instanceNames'

function makeEntry(): DiscoveryMachine {
  const options = { instance: 'entry', zone: 'z', hostsVoter: false, seeds: ['a', 'b'] }
  return new DiscoveryMachine({ ...options, startedAt: 0 })
}

const told = (
  from: string,
  leader: string,
  term: number,
  voterHosts: string[] = [],
): DiscoveryEvent => {
  const directory = create(InstanceDirectorySchema, { voterHosts, leader, term })
  return { kind: DiscoveryEventKind.Told, from, directory }
}

const announced = (from: string, hostsVoter: boolean, ageMs: number): DiscoveryEvent => {
  const announcement = create(AnnounceInstanceSchema, { zone: 'z', hostsVoter, ageMs })
  return { kind: DiscoveryEventKind.Announced, from, announcement }
}

function ofKind(actions: readonly DiscoveryAction[], kind: DiscoveryActionKind): DiscoveryAction[] {
  return actions.filter((action) => action.kind === kind)
}

describe('finding instances', () => {
  it('starts from the seeds and goes on with those that they name', () => {
    const entry = makeEntry()
    entry.tick(0)
    entry.step(10, told('a', '', 0, ['a', 'c']))
    assert.deepEqual(entry.voterHosts, ['a', 'b', 'c'])
  })

  it('believes the highest term about the leader', () => {
    const entry = makeEntry()
    entry.step(10, told('a', 'a', 3))
    entry.step(11, told('b', 'b', 2))
    assert.equal(entry.leader, 'a')
    entry.step(12, told('b', 'b', 4))
    assert.equal(entry.leader, 'b')
  })

  it('gives a leader up that does not answer for itself', () => {
    const entry = makeEntry()
    entry.step(0, told('a', 'b', 3))
    const { leaderSilentMs } = defaultDiscoveryTiming
    entry.step(leaderSilentMs, told('a', 'b', 3))
    const actions = entry.tick(leaderSilentMs + 1)
    assert.equal(ofKind(actions, DiscoveryActionKind.LeaderChanged).length, 1)
    assert.equal(entry.leader, '')
  })

  it('announces itself to the leader more often than to the others', () => {
    const entry = makeEntry()
    entry.step(0, told('a', 'a', 1))
    const counts = new Map<string, number>()
    for (let now = 0; now < 1_000; now += 50) {
      entry.step(now, told('a', 'a', 1))
      for (const action of entry.tick(now)) {
        if (action.kind !== DiscoveryActionKind.Send) continue
        counts.set(action.to, (counts.get(action.to) ?? 0) + 1)
      }
    }
    assert.deepEqual([counts.get('a'), counts.get('b')], [10, 2])
  })

  it('gives a leader up at once that says itself that it leads no more', () => {
    const entry = makeEntry()
    entry.step(0, told('a', 'a', 3))
    entry.step(5, told('b', '', 3))
    assert.equal(entry.leader, 'a', 'another one may know less')
    entry.step(10, told('a', '', 3))
    assert.equal(entry.leader, '')
  })

  it('passes on only the leader that its own voter follows', () => {
    const options = { instance: 'a', zone: 'z', hostsVoter: true, seeds: ['a', 'b'] }
    const host = new DiscoveryMachine({ ...options, startedAt: 0 })
    const leadersTold = (actions: readonly DiscoveryAction[]): string[] => {
      return actions.flatMap((action) => {
        if (action.kind !== DiscoveryActionKind.Send) return []
        const { body } = action.envelope
        return body.case === 'instanceDirectory' ? body.value.leader : []
      })
    }
    host.step(0, told('b', 'x', 3))
    assert.deepEqual(leadersTold(host.step(1, announced('entry', false, 100))), [''])
    host.step(2, { kind: DiscoveryEventKind.Voters, instances: [], leader: 'x', term: 3 })
    assert.deepEqual(leadersTold(host.step(3, announced('entry', false, 102))), ['x'])
  })

  it('tells all who rely on it that it leads no more', () => {
    const options = { instance: 'a', zone: 'z', hostsVoter: true, seeds: ['a', 'b'] }
    const host = new DiscoveryMachine({ ...options, startedAt: 0 })
    host.step(0, announced('entry', false, 100))
    host.step(1, { kind: DiscoveryEventKind.Voters, instances: ['a', 'b'], leader: 'a', term: 2 })
    const voters = { instances: ['a', 'b'], leader: '', term: 2 }
    const actions = host.step(2, { kind: DiscoveryEventKind.Voters, ...voters })
    const sent = ofKind(actions, DiscoveryActionKind.Send)
    assert.ok(sent.some((action) => 'to' in action && action.to === 'entry'))
  })

  it('notices that a host of a voter has restarted', () => {
    const entry = makeEntry()
    const seen = (actions: readonly DiscoveryAction[]): number => {
      return ofKind(actions, DiscoveryActionKind.VoterHostSeen).length
    }
    assert.equal(seen(entry.step(5_000, announced('c', true, 4_000))), 1)
    assert.equal(seen(entry.step(5_200, announced('c', true, 4_200))), 0)
    assert.equal(seen(entry.step(9_000, announced('c', true, 300))), 1)
  })

  it('makes names of addresses and back', () => {
    assert.equal(hostOf(instanceAt('10.1.0.13')), '10.1.0.13')
  })
})

describe('asking the leader whether it is there', () => {
  const { announceMs, leaderSilentMs } = defaultDiscoveryTiming
  const heard = (term: number): DiscoveryEvent => {
    return { kind: DiscoveryEventKind.Heard, from: 'a', term }
  }
  const makeFollower = (): DiscoveryMachine => {
    const entry = makeEntry()
    entry.step(0, told('a', 'a', 3))
    entry.tick(0)
    return entry
  }

  it('is left out while its answers to jobs come', () => {
    const entry = makeFollower()
    entry.step(announceMs, heard(3))
    assert.equal(ofKind(entry.tick(announceMs + 10), DiscoveryActionKind.Send).length, 0)
    assert.equal(ofKind(entry.tick(2 * announceMs + 10), DiscoveryActionKind.Send).length, 1)
  })

  it('goes on when answers come from an earlier leadership', () => {
    const entry = makeFollower()
    entry.step(announceMs, heard(2))
    assert.equal(ofKind(entry.tick(announceMs + 10), DiscoveryActionKind.Send).length, 1)
  })

  it('does not keep a leader that falls silent', () => {
    const entry = makeFollower()
    entry.step(announceMs, heard(3))
    entry.tick(announceMs + leaderSilentMs)
    assert.equal(entry.leader, 'a')
    entry.tick(announceMs + leaderSilentMs + 1)
    assert.equal(entry.leader, '')
  })
})

describe('instances that may help a leader', () => {
  const { helperSilentMs } = defaultDiscoveryTiming
  const makeHost = (): DiscoveryMachine => {
    const options = { instance: 'host', zone: 'z', hostsVoter: true, seeds: ['a', 'b'] }
    return new DiscoveryMachine({ ...options, startedAt: 0 })
  }
  const namesOf = (host: DiscoveryMachine, now: number): string[] => {
    return host.helpers(now).map(({ instance }) => instance)
  }

  it('host voters, announce themselves and answer', () => {
    const host = makeHost()
    host.step(0, announced('a', true, 0))
    host.step(0, announced('b', true, 0))
    host.step(0, announced('entry', false, 0))
    host.step(0, told('b', '', 0))
    host.step(0, told('entry', '', 0))
    assert.deepEqual(host.helpers(10), [{ instance: 'b', zone: 'z' }])
  })

  it('are none any more once they are silent, one way or the other', () => {
    const host = makeHost()
    host.step(0, announced('a', true, 0))
    host.step(0, told('a', '', 0))
    host.step(helperSilentMs, told('a', '', 0))
    assert.deepEqual(namesOf(host, helperSilentMs), ['a'])
    assert.deepEqual(namesOf(host, helperSilentMs + 1), [])
    host.step(helperSilentMs + 1, announced('a', true, helperSilentMs + 1))
    assert.deepEqual(namesOf(host, helperSilentMs + 1), ['a'])
    assert.deepEqual(namesOf(host, 2 * helperSilentMs + 1), [])
  })

  it('are none any more once they are told to stop, and say so at once', () => {
    const host = makeHost()
    host.step(0, told('a', '', 0))
    const other = new DiscoveryMachine({
      instance: 'a',
      zone: 'z',
      hostsVoter: true,
      seeds: ['host'],
      startedAt: 0,
    })
    other.tick(0)
    const actions = other.step(1, { kind: DiscoveryEventKind.Leaving })
    const bodies = actions.flatMap((action) => {
      return action.kind === DiscoveryActionKind.Send ? [action.envelope.body] : []
    })
    for (const body of bodies) {
      assert.ok(body.case === 'announceInstance')
      host.step(2, { kind: DiscoveryEventKind.Announced, from: 'a', announcement: body.value })
    }
    assert.equal(bodies.length, 1)
    assert.deepEqual(namesOf(host, 3), [])
  })
})
