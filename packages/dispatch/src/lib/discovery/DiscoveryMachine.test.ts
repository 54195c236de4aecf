import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { create } from '@bufbuild/protobuf'
import { AnnounceInstanceSchema, InstanceDirectorySchema } from '@cherryhitch/protocol'
import { DiscoveryActionKind } from './DiscoveryAction'
import type { DiscoveryAction } from './DiscoveryAction'
import { DiscoveryEventKind } from './DiscoveryEvent'
import type { DiscoveryEvent } from './DiscoveryEvent'
import { DiscoveryMachine } from './DiscoveryMachine'
import { defaultDiscoveryTiming } from './DiscoveryTiming'
import { hostOf, instanceAt } from './instanceNames'

function makeEntry(): DiscoveryMachine {
  const options = { instance: 'entry', zone: 'z', hostsVoter: false, seeds: ['a', 'b'] }
  return new DiscoveryMachine({ ...options, startedAt: 0 })
}

const directoryFrom = (
  from: string,
  leader: string,
  term: number,
  voterHosts: string[] = [],
): DiscoveryEvent => {
  const directory = create(InstanceDirectorySchema, { voterHosts, leader, term })
  return { kind: DiscoveryEventKind.DirectoryReceived, from, directory }
}

const announced = (from: string, hostsVoter: boolean, ageMs: number): DiscoveryEvent => {
  const announcement = create(AnnounceInstanceSchema, { zone: 'z', hostsVoter, ageMs })
  return { kind: DiscoveryEventKind.Announced, from, announcement }
}

function ofKind(actions: readonly DiscoveryAction[], kind: DiscoveryActionKind): DiscoveryAction[] {
  return actions.filter((action) => action.kind === kind)
}

describe('instance discovery', () => {
  it('starts from the seeds and adds the voter hosts that they list', () => {
    const entry = makeEntry()
    entry.tick(0)
    entry.step(10, directoryFrom('a', '', 0, ['a', 'c']))
    assert.deepEqual(entry.voterHosts, ['a', 'b', 'c'])
  })

  it('finds the voter hosts again after a long cut although its seeds are gone', () => {
    const { peerExpiryMs } = defaultDiscoveryTiming
    const entry = makeEntry()
    entry.step(0, directoryFrom('c', 'c', 1, ['c', 'd']))
    const healedAt = 10 * peerExpiryMs
    for (let now = 0; now < healedAt; now += 100) entry.tick(now)
    assert.deepEqual(entry.voterHosts, ['a', 'b', 'c', 'd'])
    entry.step(healedAt, directoryFrom('d', 'd', 2, ['d', 'e']))
    entry.tick(healedAt + 100)
    assert.deepEqual(entry.voterHosts, ['a', 'b', 'c', 'd', 'e'], 'c may only answer later')
    for (let now = healedAt; now < healedAt + 2 * peerExpiryMs; now += 100) {
      entry.step(now, directoryFrom('d', 'd', 2, ['d', 'e']))
      entry.tick(now)
    }
    assert.deepEqual(entry.voterHosts, ['a', 'b', 'd', 'e'])
  })

  it('remembers a voter host that only announced itself through a long cut', () => {
    const host = new DiscoveryMachine({
      instance: 'own',
      zone: 'z',
      hostsVoter: true,
      seeds: [],
      startedAt: 0,
    })
    host.step(0, announced('c', true, 100))
    host.tick(10 * defaultDiscoveryTiming.peerExpiryMs)
    assert.deepEqual(host.voterHosts, ['c'])
  })

  it('accepts the leader of the highest term', () => {
    const entry = makeEntry()
    entry.step(10, directoryFrom('a', 'a', 3))
    entry.step(11, directoryFrom('b', 'b', 2))
    assert.equal(entry.leader, 'a')
    entry.step(12, directoryFrom('b', 'b', 4))
    assert.equal(entry.leader, 'b')
  })

  describe('after the loss of the leader', () => {
    const { leaderTimeoutMs, leaderSearchMs } = defaultDiscoveryTiming
    const lostAt = leaderTimeoutMs + 1
    const loseLeader = (): DiscoveryMachine => {
      const entry = makeEntry()
      entry.step(0, directoryFrom('a', 'b', 3, ['a', 'b', 'c']))
      entry.tick(lostAt)
      return entry
    }
    const searchEnd = (entry: DiscoveryMachine): DiscoveryAction[] => {
      return ofKind(entry.tick(lostAt + leaderSearchMs), DiscoveryActionKind.QuorumUnreachable)
    }

    it('reports that no majority of the voter hosts answers', () => {
      const entry = loseLeader()
      entry.step(lostAt + 10, directoryFrom('a', '', 3, ['b', 'c']))
      assert.equal(searchEnd(entry).length, 1)
      assert.equal(entry.tick(lostAt + 2 * leaderSearchMs).length > 0, true, 'it keeps searching')
    })

    it('keeps waiting for the next leader if a majority answers', () => {
      const entry = loseLeader()
      for (const host of ['a', 'c'])
        entry.step(lostAt + 10, directoryFrom(host, '', 3, ['a', 'b', 'c']))
      assert.deepEqual(searchEnd(entry), [])
    })

    it('is answered by voter hosts even if their directory is unchanged', () => {
      const host = new DiscoveryMachine({
        instance: 'a',
        zone: 'z',
        hostsVoter: true,
        seeds: ['b'],
        startedAt: 0,
      })
      host.step(0, announced('entry', false, 100))
      const fields = { zone: 'z', hostsVoter: false, ageMs: 200, leaderless: true }
      const announcement = create(AnnounceInstanceSchema, fields)
      const event = { kind: DiscoveryEventKind.Announced, from: 'entry', announcement } as const
      assert.equal(ofKind(host.step(100, event), DiscoveryActionKind.Send).length, 1)
    })
  })

  it('drops a leader that only others report', () => {
    const entry = makeEntry()
    entry.step(0, directoryFrom('a', 'b', 3))
    const { leaderTimeoutMs } = defaultDiscoveryTiming
    entry.step(leaderTimeoutMs, directoryFrom('a', 'b', 3))
    const actions = entry.tick(leaderTimeoutMs + 1)
    assert.equal(ofKind(actions, DiscoveryActionKind.LeaderChanged).length, 1)
    assert.equal(entry.leader, '')
  })

  it('announces itself at short intervals without a leader, and at long ones with a leader', () => {
    const entry = makeEntry()
    const sentIn = (from: number, to: number): number => {
      let sent = 0
      for (let now = from; now < to; now += 50) {
        if (entry.leader !== '') entry.step(now, directoryFrom('a', 'a', 1))
        for (const action of entry.tick(now)) {
          if (action.kind === DiscoveryActionKind.Send && action.to === 'b') sent++
        }
      }
      return sent
    }
    assert.equal(sentIn(0, 1_000), 10)
    entry.step(1_000, directoryFrom('a', 'a', 1))
    assert.equal(sentIn(1_000, 5_000), 4)
    entry.step(5_000, directoryFrom('a', '', 1))
    assert.equal(sentIn(5_000, 6_000), 10)
  })

  it('drops a leader immediately if it reports itself that it no longer leads', () => {
    const entry = makeEntry()
    entry.step(0, directoryFrom('a', 'a', 3))
    entry.step(5, directoryFrom('b', '', 3))
    assert.equal(entry.leader, 'a', 'another instance may know less')
    entry.step(10, directoryFrom('a', '', 3))
    assert.equal(entry.leader, '')
  })

  it('reports only the leader that its own voter follows', () => {
    const options = { instance: 'a', zone: 'z', hostsVoter: true, seeds: ['a', 'b'] }
    const host = new DiscoveryMachine({ ...options, startedAt: 0 })
    const reportedLeaders = (actions: readonly DiscoveryAction[]): string[] => {
      return actions.flatMap((action) => {
        if (action.kind !== DiscoveryActionKind.Send) return []
        const { body } = action.envelope
        return body.case === 'instanceDirectory' ? body.value.leader : []
      })
    }
    host.step(0, directoryFrom('b', 'x', 3))
    assert.deepEqual(reportedLeaders(host.step(1, announced('entry', false, 100))), [''])
    host.step(2, { kind: DiscoveryEventKind.Voters, instances: [], leader: 'x', term: 3 })
    assert.deepEqual(reportedLeaders(host.step(3, announced('entry', false, 102))), ['x'])
  })

  it('notifies all announced instances when it no longer leads', () => {
    const options = { instance: 'a', zone: 'z', hostsVoter: true, seeds: ['a', 'b'] }
    const host = new DiscoveryMachine({ ...options, startedAt: 0 })
    host.step(0, announced('entry', false, 100))
    host.step(1, { kind: DiscoveryEventKind.Voters, instances: ['a', 'b'], leader: 'a', term: 2 })
    const voters = { instances: ['a', 'b'], leader: '', term: 2 }
    const actions = host.step(2, { kind: DiscoveryEventKind.Voters, ...voters })
    const sent = ofKind(actions, DiscoveryActionKind.Send)
    assert.ok(sent.some((action) => 'to' in action && action.to === 'entry'))
  })

  it('detects the restart of a voter host', () => {
    const entry = makeEntry()
    const seen = (actions: readonly DiscoveryAction[]): number => {
      return ofKind(actions, DiscoveryActionKind.VoterHostSeen).length
    }
    assert.equal(seen(entry.step(5_000, announced('c', true, 4_000))), 1)
    assert.equal(seen(entry.step(5_200, announced('c', true, 4_200))), 0)
    assert.equal(seen(entry.step(9_000, announced('c', true, 300))), 1)
  })

  it('converts addresses to names and back', () => {
    assert.equal(hostOf(instanceAt('10.1.0.13')), '10.1.0.13')
  })
})

describe('instances that follow a leader', () => {
  const { leaderTimeoutMs } = defaultDiscoveryTiming
  const leaderMessage = (term: number): DiscoveryEvent => {
    return { kind: DiscoveryEventKind.LeaderMessageReceived, from: 'a', term }
  }
  const makeFollower = (): DiscoveryMachine => {
    const entry = makeEntry()
    entry.step(0, directoryFrom('a', 'a', 3))
    entry.tick(0)
    return entry
  }
  const follows = (leader: string, term: number): DiscoveryEvent => {
    return { kind: DiscoveryEventKind.Voters, instances: [], leader, term }
  }
  const makeLeader = (): DiscoveryMachine => {
    const options = { instance: 'a', zone: 'z', hostsVoter: true, seeds: ['a', 'b'] }
    const leader = new DiscoveryMachine({ ...options, startedAt: 0 })
    leader.step(0, announced('entry', false, 0))
    leader.step(0, follows('a', 3))
    leader.tick(0)
    return leader
  }
  /** Times at which a voter host sends its directory to `entry`, given the state of its voter. */
  const directoryTimes = (
    leader: DiscoveryMachine,
    from: number,
    to: number,
    voters = follows('a', 3),
  ): number[] => {
    const times: number[] = []
    for (let now = from; now < to; now += 10) {
      leader.step(now, voters)
      if (now < leader.tickDueAt) continue
      for (const action of leader.tick(now)) {
        if (action.kind === DiscoveryActionKind.Send && action.to === 'entry') times.push(now)
      }
    }
    return times
  }

  it('get heartbeats often enough that one may be late', () => {
    const times = directoryTimes(makeLeader(), 10, 2_000)
    const gaps = times.map((at, n) => at - (times[n - 1] ?? 0))
    assert.ok(Math.max(...gaps) <= leaderTimeoutMs / 3, `${Math.max(...gaps)} ms`)
  })

  it('get no heartbeats while answers to their jobs show the same', () => {
    const leader = makeLeader()
    for (let now = 100; now < 1_000; now += 100) {
      assert.deepEqual(directoryTimes(leader, now - 90, now), [])
      leader.step(now, { kind: DiscoveryEventKind.LeaderMessageSent, to: 'entry' })
    }
    assert.equal(directoryTimes(leader, 910, 1_200).length, 2)
  })

  it('get no heartbeats from an instance that no longer leads', () => {
    const leader = makeLeader()
    leader.step(10, follows('b', 4))
    assert.deepEqual(directoryTimes(leader, 20, 2_000, follows('b', 4)), [])
  })

  it('keep a leader that answers, and drop one that falls silent', () => {
    const entry = makeFollower()
    entry.step(100, leaderMessage(3))
    entry.tick(100 + leaderTimeoutMs)
    assert.equal(entry.leader, 'a')
    assert.ok(entry.tickDueAt <= 100 + leaderTimeoutMs + 1)
    entry.tick(100 + leaderTimeoutMs + 1)
    assert.equal(entry.leader, '')
  })

  it('do not take answers of an earlier term as a sign of the present leader', () => {
    const entry = makeFollower()
    entry.step(100, leaderMessage(2))
    entry.tick(leaderTimeoutMs + 1)
    assert.equal(entry.leader, '')
  })
})

describe('proxy candidates of a leader', () => {
  const { proxyCandidateTimeoutMs } = defaultDiscoveryTiming
  const makeHost = (): DiscoveryMachine => {
    const options = { instance: 'host', zone: 'z', hostsVoter: true, seeds: ['a', 'b'] }
    return new DiscoveryMachine({ ...options, startedAt: 0 })
  }
  const namesOf = (host: DiscoveryMachine, now: number): string[] => {
    return host.proxyCandidates(now).map(({ instance }) => instance)
  }

  it('are voter hosts that announce themselves and answer', () => {
    const host = makeHost()
    host.step(0, announced('a', true, 0))
    host.step(0, announced('b', true, 0))
    host.step(0, announced('entry', false, 0))
    host.step(0, directoryFrom('b', '', 0))
    host.step(0, directoryFrom('entry', '', 0))
    assert.deepEqual(host.proxyCandidates(10), [{ instance: 'b', zone: 'z' }])
  })

  it('are dropped once they stop announcing themselves or answering', () => {
    const host = makeHost()
    host.step(0, announced('a', true, 0))
    host.step(0, directoryFrom('a', '', 0))
    host.step(proxyCandidateTimeoutMs, directoryFrom('a', '', 0))
    assert.deepEqual(namesOf(host, proxyCandidateTimeoutMs), ['a'])
    assert.deepEqual(namesOf(host, proxyCandidateTimeoutMs + 1), [])
    host.step(proxyCandidateTimeoutMs + 1, announced('a', true, proxyCandidateTimeoutMs + 1))
    assert.deepEqual(namesOf(host, proxyCandidateTimeoutMs + 1), ['a'])
    assert.deepEqual(namesOf(host, 2 * proxyCandidateTimeoutMs + 1), [])
  })

  it('announce immediately that they are about to stop, and are dropped', () => {
    const host = makeHost()
    host.step(0, directoryFrom('a', '', 0))
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
