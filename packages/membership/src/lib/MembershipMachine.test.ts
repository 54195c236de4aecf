import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import type { InstanceHeartbeat } from '@cherryhitch/protocol'
import { InstanceState } from '@cherryhitch/protocol'
import type { MembershipAction } from '../index'
import {
  MembershipActionKind,
  MembershipEventKind,
  MembershipMachine,
  defaultMembershipTiming,
} from '../index'

const { timeoutMs, linkDownTimeoutMs, heartbeatMs, farHeartbeatMs } = defaultMembershipTiming

function machineOf(instance: string, zone: string): MembershipMachine {
  const all = [
    { instance: 'a', zone: 'z1' },
    { instance: 'b', zone: 'z1' },
    { instance: 'c', zone: 'z2' },
  ]
  const peers = all.filter((known) => known.instance !== instance)
  return new MembershipMachine({ instance, zone, boot: 10, endpointAddress: '127.0.0.1:1', peers })
}

function heartbeatOf(actions: readonly MembershipAction[], to: string): InstanceHeartbeat {
  const sent = actions.find((a) => a.kind === MembershipActionKind.Send && a.to === to)
  assert.ok(sent?.kind === MembershipActionKind.Send)
  assert.ok(sent.envelope.body.case === 'instanceHeartbeat')
  return sent.envelope.body.value
}

function kinds(actions: readonly MembershipAction[]): readonly MembershipActionKind[] {
  return actions.map((action) => action.kind)
}

function hear(
  machine: MembershipMachine,
  now: number,
  heartbeat: InstanceHeartbeat,
  boot = 10,
): readonly MembershipAction[] {
  return machine.step(now, { kind: MembershipEventKind.Heartbeat, from: 'b', boot, heartbeat })
}

function isAlive(machine: MembershipMachine, now: number, instance: string): boolean {
  return machine.view(now).some((member) => member.instance === instance && member.alive)
}

describe('MembershipMachine', () => {
  it('finds a peer by its first heartbeat', () => {
    const a = machineOf('a', 'z1')
    const found = hear(a, 0, heartbeatOf(machineOf('b', 'z1').tick(0), 'a'))
    assert.deepEqual(kinds(found), [
      MembershipActionKind.InstanceFound,
      MembershipActionKind.ViewChanged,
    ])
    assert.ok(isAlive(a, 0, 'b'))
  })

  it('drops heartbeats that are late, doubled or of an earlier boot', () => {
    const a = machineOf('a', 'z1')
    const b = machineOf('b', 'z1')
    const first = heartbeatOf(b.tick(0), 'a')
    const second = heartbeatOf(b.tick(heartbeatMs), 'a')
    hear(a, 1, second)
    for (const [heartbeat, boot] of [
      [first, 10],
      [second, 10],
      [second, 9],
    ] as const) {
      assert.deepEqual(hear(a, 2, heartbeat, boot), [])
    }
    assert.equal(a.counters.heartbeatsStale, 3)
  })

  const silences = [
    { link: 'up', limit: timeoutMs },
    { link: 'down', limit: linkDownTimeoutMs },
  ]
  for (const { link, limit } of silences) {
    it(`calls a peer lost after ${limit} ms of silence with its link ${link}`, () => {
      const a = machineOf('a', 'z1')
      hear(a, 0, heartbeatOf(machineOf('b', 'z1').tick(0), 'a'))
      a.step(0, { kind: MembershipEventKind.LinkUp, peer: 'b', roundTripMs: 1 })
      if (link === 'down') a.step(0, { kind: MembershipEventKind.LinkDown, peer: 'b' })
      assert.ok(!kinds(a.tick(limit)).includes(MembershipActionKind.InstanceLost))
      assert.ok(kinds(a.tick(limit + 1)).includes(MembershipActionKind.InstanceLost))
      assert.ok(!isAlive(a, limit + 1, 'b'))
    })
  }

  it('finds a restarted peer again under its new boot', () => {
    const a = machineOf('a', 'z1')
    hear(a, 0, heartbeatOf(machineOf('b', 'z1').tick(0), 'a'))
    const restarted = heartbeatOf(machineOf('b', 'z1').tick(5), 'a')
    const actions = hear(a, 5, restarted, 11)
    assert.ok(kinds(actions).includes(MembershipActionKind.InstanceFound))
    assert.equal(a.view(5).find((member) => member.instance === 'b')?.boot, 11)
  })

  it('sends to its own zone more often than to the others', () => {
    const a = machineOf('a', 'z1')
    a.tick(0)
    const near = a.tick(heartbeatMs)
    assert.deepEqual(
      near.map((action) => (action.kind === MembershipActionKind.Send ? action.to : '')),
      ['b'],
    )
    assert.equal(a.tick(farHeartbeatMs).length, 2)
  })

  it('tells everybody at once that it drains', () => {
    const a = machineOf('a', 'z1')
    a.tick(0)
    const actions = a.step(20, {
      kind: MembershipEventKind.LocalState,
      state: InstanceState.DRAINING,
    })
    assert.equal(heartbeatOf(actions, 'b').state, InstanceState.DRAINING)
    assert.equal(heartbeatOf(actions, 'c').state, InstanceState.DRAINING)
  })

  it('counts a heartbeat of an instance that no settings name and believes nothing of it', () => {
    const a = machineOf('a', 'z1')
    const heartbeat = heartbeatOf(machineOf('b', 'z1').tick(0), 'a')
    const event = { kind: MembershipEventKind.Heartbeat, from: 'x', boot: 1, heartbeat } as const
    assert.deepEqual(a.step(0, event), [])
    assert.equal(a.counters.heartbeatsForeign, 1)
  })
})

describe('views of MembershipMachine', () => {
  it('joins news that come close together', () => {
    const a = machineOf('a', 'z1')
    const b = machineOf('b', 'z1')
    hear(a, 0, heartbeatOf(b.tick(0), 'a'))
    const news = [1, 2, 3].map((at) => {
      const state = at % 2 === 0 ? InstanceState.SERVING : InstanceState.DRAINING
      const actions = b.step(at * 100, { kind: MembershipEventKind.LocalState, state })
      return hear(a, at, heartbeatOf(actions, 'a'))
    })
    assert.deepEqual(news, [[], [], []])
    assert.ok(kinds(a.tick(20)).includes(MembershipActionKind.ViewChanged))
    assert.ok(!kinds(a.tick(21)).includes(MembershipActionKind.ViewChanged))
  })
})
