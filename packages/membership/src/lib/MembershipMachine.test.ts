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

const { timeoutMs, linkDownTimeoutMs, heartbeatMs, crossZoneHeartbeatMs } = defaultMembershipTiming

function createMachine(instance: string, zone: string): MembershipMachine {
  const all = [
    { instance: 'a', zone: 'z1' },
    { instance: 'b', zone: 'z1' },
    { instance: 'c', zone: 'z2' },
  ]
  const peers = all.filter((known) => known.instance !== instance)
  return new MembershipMachine({ instance, zone, boot: 10, endpointAddress: '127.0.0.1:1', peers })
}

function findHeartbeat(actions: readonly MembershipAction[], to: string): InstanceHeartbeat {
  const sent = actions.find((a) => a.kind === MembershipActionKind.Send && a.to === to)
  assert.ok(sent?.kind === MembershipActionKind.Send)
  assert.ok(sent.envelope.body.case === 'instanceHeartbeat')
  return sent.envelope.body.value
}

function kindsOf(actions: readonly MembershipAction[]): readonly MembershipActionKind[] {
  return actions.map((action) => action.kind)
}

function receive(
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
  it('detects a peer by its first heartbeat', () => {
    const a = createMachine('a', 'z1')
    const found = receive(a, 0, findHeartbeat(createMachine('b', 'z1').tick(0), 'a'))
    assert.deepEqual(kindsOf(found), [
      MembershipActionKind.InstanceFound,
      MembershipActionKind.ViewChanged,
    ])
    assert.ok(isAlive(a, 0, 'b'))
  })

  it('drops heartbeats that are out of order, duplicated or from an earlier boot', () => {
    const a = createMachine('a', 'z1')
    const b = createMachine('b', 'z1')
    const first = findHeartbeat(b.tick(0), 'a')
    const second = findHeartbeat(b.tick(heartbeatMs), 'a')
    receive(a, 1, second)
    for (const [heartbeat, boot] of [
      [first, 10],
      [second, 10],
      [second, 9],
    ] as const) {
      assert.deepEqual(receive(a, 2, heartbeat, boot), [])
    }
    assert.equal(a.counters.heartbeatsStale, 3)
  })

  const timeouts = [
    { link: 'up', limit: timeoutMs },
    { link: 'down', limit: linkDownTimeoutMs },
  ]
  for (const { link, limit } of timeouts) {
    it(`considers a peer lost after ${limit} ms without a heartbeat with its link ${link}`, () => {
      const a = createMachine('a', 'z1')
      receive(a, 0, findHeartbeat(createMachine('b', 'z1').tick(0), 'a'))
      a.step(0, { kind: MembershipEventKind.LinkUp, peer: 'b', roundTripMs: 1 })
      if (link === 'down') a.step(0, { kind: MembershipEventKind.LinkDown, peer: 'b' })
      assert.ok(!kindsOf(a.tick(limit)).includes(MembershipActionKind.InstanceLost))
      assert.ok(kindsOf(a.tick(limit + 1)).includes(MembershipActionKind.InstanceLost))
      assert.ok(!isAlive(a, limit + 1, 'b'))
    })
  }

  it('detects a restarted peer by its new boot', () => {
    const a = createMachine('a', 'z1')
    receive(a, 0, findHeartbeat(createMachine('b', 'z1').tick(0), 'a'))
    const restarted = findHeartbeat(createMachine('b', 'z1').tick(5), 'a')
    const actions = receive(a, 5, restarted, 11)
    assert.ok(kindsOf(actions).includes(MembershipActionKind.InstanceFound))
    assert.equal(a.view(5).find((member) => member.instance === 'b')?.boot, 11)
  })

  it('sends heartbeats to its own zone more often than to other zones', () => {
    const a = createMachine('a', 'z1')
    a.tick(0)
    const sent = a.tick(heartbeatMs)
    assert.deepEqual(
      sent.map((action) => (action.kind === MembershipActionKind.Send ? action.to : '')),
      ['b'],
    )
    assert.equal(a.tick(crossZoneHeartbeatMs).length, 2)
  })

  it('notifies all peers at once when it starts draining', () => {
    const a = createMachine('a', 'z1')
    a.tick(0)
    const actions = a.step(20, {
      kind: MembershipEventKind.LocalState,
      state: InstanceState.DRAINING,
    })
    assert.equal(findHeartbeat(actions, 'b').state, InstanceState.DRAINING)
    assert.equal(findHeartbeat(actions, 'c').state, InstanceState.DRAINING)
  })

  it('counts and ignores a heartbeat from an instance that is not in the settings', () => {
    const a = createMachine('a', 'z1')
    const heartbeat = findHeartbeat(createMachine('b', 'z1').tick(0), 'a')
    const event = { kind: MembershipEventKind.Heartbeat, from: 'x', boot: 1, heartbeat } as const
    assert.deepEqual(a.step(0, event), [])
    assert.equal(a.counters.heartbeatsForeign, 1)
  })
})

describe('views of MembershipMachine', () => {
  it('combines changes that arrive in quick succession into one view', () => {
    const a = createMachine('a', 'z1')
    const b = createMachine('b', 'z1')
    receive(a, 0, findHeartbeat(b.tick(0), 'a'))
    const actionsOfEach = [1, 2, 3].map((at) => {
      const state = at % 2 === 0 ? InstanceState.SERVING : InstanceState.DRAINING
      const actions = b.step(at * 100, { kind: MembershipEventKind.LocalState, state })
      return receive(a, at, findHeartbeat(actions, 'a'))
    })
    assert.deepEqual(actionsOfEach, [[], [], []])
    assert.ok(kindsOf(a.tick(20)).includes(MembershipActionKind.ViewChanged))
    assert.ok(!kindsOf(a.tick(21)).includes(MembershipActionKind.ViewChanged))
  })
})
