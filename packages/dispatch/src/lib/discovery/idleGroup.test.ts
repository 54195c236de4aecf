/**
 * What users saw: on sites of 28 to 44 entries, 245 endpoints and 6 dispatching instances, too few
 * requests were served in time, though hardly any was refused or lost; on a slower machine whole
 * days were given up, since all processes together had used up their processor time.
 *
 * Order of events: the processes start and wait for traffic; without a single job an entry woke up
 * 182 times a second and took 3.9 % of a core, a dispatching instance 304 times and 9.9 % (measured
 * on loopback with 12 entries and 6 dispatching instances). With the traffic the leader's core was
 * full: a task started 41 ms after its job came (p50), on a small site 6 ms.
 *
 * Cause: processes woke and talked at a fixed pace, whatever there was to do. What that costs grows
 * with entries times dispatching instances, so small sites showed none of it.
 *
 * Evidence: the counts below, and of the processor time of a quiet day more than half was used
 * before its traffic began.
 */
import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { Agenda } from '@cherryhitch/runtime'
import { DiscoveryActionKind } from './DiscoveryAction'
import type { DiscoveryAction } from './DiscoveryAction'
import { DiscoveryEventKind } from './DiscoveryEvent'
import type { DiscoveryEvent } from './DiscoveryEvent'
import { DiscoveryMachine } from './DiscoveryMachine'

const WAY_MS = 2
const TICK_MS = 10
const STATUS_MS = 20
const SETTLE_MS = 3_000
const WINDOW_MS = 10_000
const HOSTS = 6

/** Instances without any work, and how many messages each has sent. */
class IdleGroup {
  readonly sent = new Map<string, number>()
  private readonly agenda = new Agenda({ startMs: 0 })
  private readonly machines = new Map<string, DiscoveryMachine>()
  private leader = 'h0'

  constructor(entries: number) {
    const names = [
      ...Array.from({ length: HOSTS }, (_, n) => `h${n}`),
      ...Array.from({ length: entries }, (_, n) => `e${n}`),
    ]
    for (const instance of names) {
      const hostsVoter = instance.startsWith('h')
      const options = { instance, zone: 'z', hostsVoter, seeds: ['h0', 'h1', 'h2'], startedAt: 0 }
      this.machines.set(instance, new DiscoveryMachine(options))
    }
  }

  leaderOf(instance: string): string {
    return this.machines.get(instance)?.leader ?? ''
  }

  /** The leader falls silent, and the voters follow another one. */
  replaceLeader(next: string): void {
    this.machines.delete(this.leader)
    this.leader = next
  }

  run(ms: number): void {
    const end = this.agenda.now + ms
    while (this.agenda.now < end) {
      this.agenda.run(TICK_MS)
      for (const [name, machine] of this.machines) {
        if (this.agenda.now % STATUS_MS === 0 && name.startsWith('h')) {
          const instances = Array.from({ length: HOSTS }, (_, n) => `h${n}`)
          const term = Number(this.leader.slice(1)) + 1
          const known = { kind: DiscoveryEventKind.Voters, instances, leader: this.leader, term }
          this.tell(name, known as DiscoveryEvent)
        }
        this.perform(name, machine.tick(this.agenda.now))
      }
    }
  }

  /** Messages a second that an instance sends, over the next seconds. */
  rate(instance: string): number {
    const before = this.sent.get(instance) ?? 0
    this.run(WINDOW_MS)
    return (((this.sent.get(instance) ?? 0) - before) * 1_000) / WINDOW_MS
  }

  private tell(to: string, event: DiscoveryEvent): void {
    const machine = this.machines.get(to)
    if (machine !== undefined) this.perform(to, machine.step(this.agenda.now, event))
  }

  private perform(from: string, actions: readonly DiscoveryAction[]): void {
    for (const action of actions) {
      if (action.kind !== DiscoveryActionKind.Send) continue
      this.sent.set(from, (this.sent.get(from) ?? 0) + 1)
      const { to, envelope } = action
      const { body } = envelope
      this.agenda.after(WAY_MS, () => {
        if (body.case === 'announceInstance') {
          this.tell(to, { kind: DiscoveryEventKind.Announced, from, announcement: body.value })
        } else if (body.case === 'instanceDirectory') {
          this.tell(to, { kind: DiscoveryEventKind.Told, from, directory: body.value })
        }
      })
    }
  }
}

describe('a large group of instances without work', () => {
  it('has entries that send a few messages a second', () => {
    const group = new IdleGroup(28)
    group.run(SETTLE_MS)
    const rate = group.rate('e0')
    assert.ok(rate <= 8, `${rate} messages a second`)
  })

  it('costs its leader some messages a second for each entry, and no more', () => {
    const group = new IdleGroup(28)
    group.run(SETTLE_MS)
    const rate = group.rate('h0')
    assert.ok(rate <= 28 * 8, `${rate} messages a second`)
  })

  it('costs the other dispatching instances next to nothing', () => {
    const group = new IdleGroup(28)
    group.run(SETTLE_MS)
    const rate = group.rate('h1')
    assert.ok(rate <= 28 * 1.5, `${rate} messages a second`)
  })

  it('still learns of the next leader within half a second', () => {
    const group = new IdleGroup(28)
    group.run(SETTLE_MS)
    assert.equal(group.leaderOf('e7'), 'h0')
    group.replaceLeader('h1')
    group.run(500)
    assert.equal(group.leaderOf('e7'), 'h1')
  })
})
