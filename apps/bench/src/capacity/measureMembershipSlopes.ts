import { toBinary } from '@bufbuild/protobuf'
import type { MembershipAction } from '@cherryhitch/membership'
import {
  defaultMembershipTiming,
  MembershipActionKind,
  MembershipEventKind,
  MembershipMachine,
} from '@cherryhitch/membership'
import { EnvelopeSchema, InstanceState } from '@cherryhitch/protocol'
import type { InstanceHeartbeat, ServiceSummary } from '@cherryhitch/protocol'
import { head, heldBytes, medianOf, processorUs, row, slopeOf } from './measuring'
import { instanceName, makeMembers, makeSummaries, ZONE } from './samples'

const NOW = 1_000_000
const ZONES = 10
/** Simulated time of one run, a multiple of all paces. */
const RUN_MS = 2000
const RUN_SECONDS = RUN_MS / 1000
const TICK_MS = 25
const OFFER_MS = 100

function makeMembership(instances: number): MembershipMachine {
  const peers = Array.from({ length: instances - 1 }, (_, n) => {
    const zone = (n + 1) % ZONES === 0 ? ZONE : `zone-${(n + 1) % ZONES}`
    return { instance: instanceName(n + 1), zone }
  })
  const self = { instance: instanceName(0), boot: 1, zone: ZONE, endpointAddress: '10.0.0.1:7002' }
  return new MembershipMachine({ ...self, peers })
}

function makeHeartbeat(sequence: number, services: ServiceSummary[], zone: string) {
  const { SERVING } = InstanceState
  const fixed = { state: SERVING, settingsVersion: 1, endpointAddress: '10.0.0.1:7002' }
  const load = { jobsInFlight: 100, leadsVoters: false, term: 1 }
  const typeName = { $typeName: 'cherryhitch.v1.InstanceHeartbeat' } as const
  const heartbeat: InstanceHeartbeat = { ...typeName, ...fixed, ...load, zone, sequence, services }
  return heartbeat
}

interface Costs {
  readonly us: number
  readonly messages: number
  readonly bytes: number
  readonly views: number
}

/**
 * A while of an instance among `instances` others, every summary changed with each heartbeat,
 * as under load: what it sends, and what it takes in of the others.
 */
function passTime(machine: MembershipMachine, instances: number, from: number): Costs {
  const sent: MembershipAction[] = []
  const offers = makeOffers(instances)
  const peers = makeMembers(NOW, instances, 0).slice(1)
  let views = 0
  const take = (actions: readonly MembershipAction[]): void => {
    for (const action of actions) {
      if (action.kind === MembershipActionKind.Send) sent.push(action)
      if (action.kind === MembershipActionKind.ViewChanged) views++
    }
  }
  const { heartbeatMs, crossZoneHeartbeatMs } = defaultMembershipTiming
  const us = processorUs(() => {
    for (let now = from; now < from + RUN_MS; now += TICK_MS) {
      if (now % OFFER_MS === 0) {
        const services = offers[0]?.[(now / OFFER_MS) % 2] ?? []
        const rest = { jobsInFlight: 1, settingsVersion: 1, urgent: false }
        take(machine.step(now, { kind: MembershipEventKind.LocalOffer, services, ...rest }))
      }
      for (const [n, { instance, zone }] of peers.entries()) {
        const pace = zone === ZONE ? heartbeatMs : crossZoneHeartbeatMs
        if (now % pace !== 0) continue
        const services = offers[n + 1]?.[(now / pace) % 2] ?? []
        const heartbeat = makeHeartbeat(now, services, zone)
        const event = { kind: MembershipEventKind.Heartbeat, from: instance, boot: 1 } as const
        take(machine.step(now, { ...event, heartbeat }))
      }
      take(machine.tick(now))
    }
  })
  const bytes = sent.reduce((sum, action) => sum + bytesOf(action), 0)
  const [messages, perSecond] = [sent.length / RUN_SECONDS, 1 / RUN_SECONDS]
  return { us: us * perSecond, messages, bytes: bytes * perSecond, views: views * perSecond }
}

/** Two summaries of each instance, which its heartbeats tell in turns. */
function makeOffers(instances: number): ServiceSummary[][][] {
  return Array.from({ length: instances }, () => [
    makeSummaries(4, 50_000),
    makeSummaries(4, 50_001),
  ])
}

function bytesOf(action: MembershipAction): number {
  if (action.kind !== MembershipActionKind.Send) return 0
  return toBinary(EnvelopeSchema, action.envelope).length
}

/** Prints what membership costs among so many instances. */
export function measureMembershipSlopes(): void {
  const columns = ['instances', 'sent/s', 'bytes sent/s', 'views/s', 'µs a second']
  head('Membership, 4 services each, 10 zones, all summaries changing', ...columns)
  for (const instances of [7, 30, 100, 300, 700]) {
    const machine = makeMembership(instances)
    let from = NOW
    const pass = (): Costs => {
      const costs = passTime(machine, instances, from)
      from += RUN_MS
      return costs
    }
    pass()
    const { messages, bytes, views } = pass()
    row(
      instances,
      messages,
      bytes,
      views,
      medianOf(() => pass().us),
    )
  }
  const sizes = [30, 100, 300, 700]
  const points = sizes.map((size) => {
    const make = (): object => {
      const machine = makeMembership(size)
      passTime(machine, size, NOW)
      return machine
    }
    return [size, medianOf(() => heldBytes(make))] as const
  })
  const kilobytes = points.map(([, bytes]) => (bytes / 1000).toFixed(0)).join(', ')
  head('Membership: heap', 'instances', 'kB at each', 'bytes an instance (slope)')
  row(sizes.join(', '), kilobytes, slopeOf(points))
}
