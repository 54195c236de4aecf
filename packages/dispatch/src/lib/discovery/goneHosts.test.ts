/** Guards the knowledge of voter hosts in groups of instances that exchange their real messages. */
import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { EventScheduler } from '@cherryhitch/runtime'
import { DiscoveryActionKind } from './DiscoveryAction'
import type { DiscoveryAction } from './DiscoveryAction'
import { DiscoveryEventKind } from './DiscoveryEvent'
import type { DiscoveryEvent } from './DiscoveryEvent'
import { DiscoveryMachine } from './DiscoveryMachine'
import { defaultDiscoveryTiming } from './DiscoveryTiming'

const LATENCY_MS = 2
const TICK_MS = 10
const VOTER_STATUS_INTERVAL_MS = 100
const SETTLE_MS = 3_000
const { leaderlessAnnounceIntervalMs, peerExpiryMs } = defaultDiscoveryTiming

/** Instances that exchange messages. Entries have names that start with `e`. */
class Group {
  /** Instances that reported that no majority of the voter hosts answers, one name a report. */
  readonly unreachableTo: string[] = []
  members: readonly string[] = []
  leader = ''
  private readonly agenda = new EventScheduler({ startMs: 0 })
  private readonly machines = new Map<string, DiscoveryMachine>()
  private cutOff: readonly string[] = []

  start(seeds: readonly string[], ...names: readonly string[]): void {
    for (const instance of names) {
      const hostsVoter = !instance.startsWith('e')
      const options = { instance, zone: 'z', hostsVoter, seeds, startedAt: this.agenda.now }
      this.machines.set(instance, new DiscoveryMachine(options))
    }
  }

  stop(...names: readonly string[]): void {
    for (const name of names) this.machines.delete(name)
  }

  /** Lets these instances reach only each other. */
  cut(...names: readonly string[]): void {
    this.cutOff = names
  }

  /** The voter hosts that an instance knows, sorted. */
  knownTo(instance: string): readonly string[] {
    return [...(this.machines.get(instance)?.voterHosts ?? [])].sort()
  }

  leaderOf(instance: string): string {
    return this.machines.get(instance)?.leader ?? ''
  }

  run(ms: number): void {
    const end = this.agenda.now + ms
    while (this.agenda.now < end) {
      this.agenda.run(TICK_MS)
      const isStatusDue = this.agenda.now % VOTER_STATUS_INTERVAL_MS === 0
      for (const [name, machine] of this.machines) {
        if (isStatusDue && this.members.includes(name)) this.deliver(name, this.votersEvent(name))
        this.perform(name, machine.tick(this.agenda.now))
      }
    }
  }

  private votersEvent(name: string): DiscoveryEvent {
    const leader = this.isLinked(name, this.leader) ? this.leader : ''
    return { kind: DiscoveryEventKind.Voters, instances: this.members, leader, term: 1 }
  }

  private isLinked(from: string, to: string): boolean {
    return this.cutOff.includes(from) === this.cutOff.includes(to)
  }

  private deliver(to: string, event: DiscoveryEvent): void {
    const machine = this.machines.get(to)
    if (machine !== undefined) this.perform(to, machine.step(this.agenda.now, event))
  }

  private perform(from: string, actions: readonly DiscoveryAction[]): void {
    for (const action of actions) {
      if (action.kind === DiscoveryActionKind.QuorumUnreachable) this.unreachableTo.push(from)
      if (action.kind !== DiscoveryActionKind.Send) continue
      const { to, envelope } = action
      if (!this.isLinked(from, to)) continue
      const { body } = envelope
      this.agenda.after(LATENCY_MS, () => {
        if (body.case === 'announceInstance') {
          this.deliver(to, { kind: DiscoveryEventKind.Announced, from, announcement: body.value })
        } else if (body.case === 'instanceDirectory') {
          const directory = body.value
          this.deliver(to, { kind: DiscoveryEventKind.DirectoryReceived, from, directory })
        }
      })
    }
  }
}

const SEEDS = ['s0', 's1', 's2']

function startGroup(members = SEEDS): Group {
  const group = new Group()
  group.start(SEEDS, ...members, 'e')
  group.members = members
  group.leader = 's0'
  group.run(SETTLE_MS)
  return group
}

/** Replaces a member by another one. */
function replace(group: Group, gone: string, next: string): void {
  group.stop(gone)
  group.start(SEEDS, next)
  group.members = [...group.members.filter((name) => name !== gone), next]
  group.run(SETTLE_MS)
}

describe('voter hosts that are gone', () => {
  it('are forgotten by all instances, which would else report them to each other for good', () => {
    const group = startGroup()
    for (const name of ['r0', 'r1', 'r2', 'r3']) {
      group.start(SEEDS, name)
      group.run(SETTLE_MS)
      assert.ok(group.knownTo('e').includes(name))
      group.stop(name)
    }
    group.run(peerExpiryMs)
    const known = ['e', ...SEEDS].map((name) =>
      group.knownTo(name).filter((n) => n.startsWith('r')),
    )
    assert.deepEqual(known, [[], [], [], []])
  })

  it('are forgotten by all instances after a minute, once they are no members', () => {
    const group = startGroup()
    group.members = [...SEEDS, 'r0']
    for (const n of [0, 1, 2, 3]) replace(group, `r${n}`, `r${n + 1}`)
    group.run(60_000)
    assert.deepEqual(group.knownTo('e'), ['r4', ...SEEDS])
    assert.deepEqual(group.knownTo('s1'), ['r4', 's0', 's2'])
  })

  for (const waitMs of [0, 60_000]) {
    it(`do not count as unreachable when the leader is lost ${waitMs} ms later`, () => {
      const group = startGroup()
      replace(group, 's2', 'r')
      group.run(waitMs)
      assert.equal(group.leaderOf('e'), 's0')
      group.stop('s0')
      group.leader = ''
      group.run(1_000)
      assert.equal(group.leaderOf('e'), '')
      assert.deepEqual(group.unreachableTo, [], 's1 and r answer, two of three members')
    })
  }

  it('leave the loss of a majority of the members reported', () => {
    const group = startGroup()
    replace(group, 's2', 'r')
    group.stop('s0', 'r')
    group.leader = ''
    group.run(1_000)
    assert.deepEqual(group.unreachableTo, ['e'])
  })
})

describe('members that fell silent long ago', () => {
  it('count as unreachable when the leader is lost, as they still have a vote', () => {
    const group = startGroup([...SEEDS, 's3', 's4'])
    group.stop('s3', 's4')
    group.run(2 * peerExpiryMs)
    group.stop('s0')
    group.leader = ''
    group.run(1_000)
    assert.deepEqual(group.unreachableTo, ['e'], 's1 and s2 answer, two of five members')
  })
})

describe('voter hosts that are there', () => {
  it('are learnt within a few announcements by newcomers with old seeds', () => {
    const group = startGroup()
    replace(group, 's1', 'r1')
    replace(group, 's2', 'r2')
    group.start(['s1', 's2', 's0'], 'e1', 'n')
    group.run(3 * leaderlessAnnounceIntervalMs)
    assert.deepEqual(group.knownTo('e1'), ['n', 'r1', 'r2', ...SEEDS])
    assert.deepEqual(group.knownTo('n'), ['r1', 'r2', ...SEEDS])
  })

  it('are learnt within a few announcements of a cold start with one shared seed', () => {
    const group = new Group()
    group.start(['s0'], ...SEEDS, 'e')
    group.run(3 * leaderlessAnnounceIntervalMs)
    assert.deepEqual(group.knownTo('e'), SEEDS)
    assert.deepEqual(group.knownTo('s2'), ['s0', 's1'])
  })

  it('are found again by instances that were long cut off together, with seeds that are gone', () => {
    const group = new Group()
    group.start(['a'], 'a', 'b', 'c', 'd', 'e')
    group.members = ['b', 'c', 'd']
    group.leader = 'c'
    group.run(SETTLE_MS)
    group.stop('a')
    group.cut('b', 'e')
    group.run(10 * peerExpiryMs)
    assert.equal(group.leaderOf('e'), '')
    group.cut()
    group.run(SETTLE_MS)
    assert.equal(group.leaderOf('e'), 'c')
  })
})
