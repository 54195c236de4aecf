/**
 * Guards against idle load that grows with entries times dispatching instances.
 *
 * Processes used to wake up and exchange messages at a fixed rate, whether or not there was work.
 * With 12 entries and 6 dispatching instances on loopback and no jobs, an entry woke up 182 times a
 * second and used 3.9 % of a core, a dispatching instance 304 times and 9.9 %. On sites with 28 to
 * 44 entries, 245 endpoints and 6 dispatching instances, the leader's core was therefore saturated
 * under traffic: the delay from a job's arrival to the start of a task was 41 ms (p50), against
 * 6 ms on a small site. Too few requests were served in time, though hardly any was refused or
 * lost. On a slower machine all processes together used up their processor time, and whole
 * simulated days were aborted; a quiet day used more than half of its processor time before its
 * traffic began. Small sites showed no effect.
 */
import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { EventScheduler } from '@cherryhitch/runtime'
import { DiscoveryActionKind } from './DiscoveryAction'
import type { DiscoveryAction } from './DiscoveryAction'
import { DiscoveryEventKind } from './DiscoveryEvent'
import type { DiscoveryEvent } from './DiscoveryEvent'
import { DiscoveryMachine } from './DiscoveryMachine'

const LATENCY_MS = 2
const TICK_MS = 10
const VOTER_STATUS_INTERVAL_MS = 20
const SETTLE_MS = 3_000
const WINDOW_MS = 10_000
const HOSTS = 6

/** A group of instances without any jobs, with a count of the messages that each has sent. */
class IdleGroup {
  readonly sent = new Map<string, number>()
  private readonly agenda = new EventScheduler({ startMs: 0 })
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

  /** Removes the leader; the voters follow another one. */
  replaceLeader(next: string): void {
    this.machines.delete(this.leader)
    this.leader = next
  }

  run(ms: number): void {
    const end = this.agenda.now + ms
    while (this.agenda.now < end) {
      this.agenda.run(TICK_MS)
      for (const [name, machine] of this.machines) {
        if (this.agenda.now % VOTER_STATUS_INTERVAL_MS === 0 && name.startsWith('h')) {
          const instances = Array.from({ length: HOSTS }, (_, n) => `h${n}`)
          const term = Number(this.leader.slice(1)) + 1
          const known = { kind: DiscoveryEventKind.Voters, instances, leader: this.leader, term }
          this.deliver(name, known as DiscoveryEvent)
        }
        this.perform(name, machine.tick(this.agenda.now))
      }
    }
  }

  /** Runs for a measuring window; returns the messages per second that an instance sends in it. */
  rate(instance: string): number {
    const before = this.sent.get(instance) ?? 0
    this.run(WINDOW_MS)
    return (((this.sent.get(instance) ?? 0) - before) * 1_000) / WINDOW_MS
  }

  private deliver(to: string, event: DiscoveryEvent): void {
    const machine = this.machines.get(to)
    if (machine !== undefined) this.perform(to, machine.step(this.agenda.now, event))
  }

  private perform(from: string, actions: readonly DiscoveryAction[]): void {
    for (const action of actions) {
      if (action.kind !== DiscoveryActionKind.Send) continue
      this.sent.set(from, (this.sent.get(from) ?? 0) + 1)
      const { to, envelope } = action
      const { body } = envelope
      this.agenda.after(LATENCY_MS, () => {
        if (body.case === 'announceInstance') {
          this.deliver(to, { kind: DiscoveryEventKind.Announced, from, announcement: body.value })
        } else if (body.case === 'instanceDirectory') {
          this.deliver(to, {
            kind: DiscoveryEventKind.DirectoryReceived,
            from,
            directory: body.value,
          })
        }
      })
    }
  }
}

describe('a large group of idle instances', () => {
  it('has entries that send a few messages per second', () => {
    const group = new IdleGroup(28)
    group.run(SETTLE_MS)
    const rate = group.rate('e0')
    assert.ok(rate <= 8, `${rate} messages a second`)
  })

  it('costs its leader a few messages per second for each entry', () => {
    const group = new IdleGroup(28)
    group.run(SETTLE_MS)
    const rate = group.rate('h0')
    assert.ok(rate <= 28 * 8, `${rate} messages a second`)
  })

  it('costs the other dispatching instances almost no messages', () => {
    const group = new IdleGroup(28)
    group.run(SETTLE_MS)
    const rate = group.rate('h1')
    assert.ok(rate <= 28 * 1.5, `${rate} messages a second`)
  })

  it('learns of the next leader within half a second', () => {
    const group = new IdleGroup(28)
    group.run(SETTLE_MS)
    assert.equal(group.leaderOf('e7'), 'h0')
    group.replaceLeader('h1')
    group.run(500)
    assert.equal(group.leaderOf('e7'), 'h1')
  })
})
