import type { CoordinatorAction } from '@cherryhitch/coordinator'
import { CoordinatorActionKind, CoordinatorEventKind } from '@cherryhitch/coordinator'
import { shippedPresets } from '@cherryhitch/control'
import { OwnerEventKind } from '@cherryhitch/owner'
import type { Envelope, KeyClaim, PresetDefinition } from '@cherryhitch/protocol'
import { SeededRandom } from '@cherryhitch/stand-ins'
import { EventScheduler } from '@cherryhitch/runtime'
import { breakEnvelope } from './breakEnvelope'
import { JointChecks, assertThat } from './JointChecks'
import { JointEndpoint } from './JointEndpoint'
import type { JointMessage } from './JointNetwork'
import { JointNetwork } from './JointNetwork'
import { EndpointRequests } from './EndpointRequests'
import { JointProcess } from './JointProcess'
import { JointQuorum } from './JointQuorum'
import { JointRule } from './JointRule'

export const SERVICE = 'tracing'
const INSTANCES = ['a1', 'a2', 'b1', 'b2', 'c1']
const ENDPOINTS = ['a-w1', 'a-w2', 'b-w1', 'b-w2', 'c-w1']
const SLOTS = 3
const TICK_MS = 25
const OFFER_MS = 100
const HEARTBEAT_MS = 500

function zoneOf(name: string): string {
  return name.slice(0, 1)
}

/** Machines, endpoints, network and claims of one run, under the run's own clock. */
export class JointCluster {
  readonly agenda = new EventScheduler()
  readonly checks = new JointChecks()
  readonly random: SeededRandom
  readonly network: JointNetwork
  readonly endpoints: readonly JointEndpoint[]
  readonly processes = new Map<string, JointProcess>()
  /** The voters answer claims. */
  quorumReachable = true
  preset: PresetDefinition
  version = 1
  private boots = 100
  private readonly quorum: JointQuorum
  private readonly targets = new Map<string, string>()
  private readonly requests: EndpointRequests

  constructor(
    seed: number,
    private readonly broken: JointRule | undefined,
  ) {
    this.random = new SeededRandom(seed)
    this.quorum = new JointQuorum(broken !== JointRule.KeysAreExclusive)
    this.preset = this.random.pick(shippedPresets)
    this.network = new JointNetwork(this.agenda, this.random, {
      bootOf: (instance) => this.running(instance)?.options.boot,
      deliver: (message) => {
        this.deliver(message)
      },
    })
    this.endpoints = ENDPOINTS.map((name) => this.makeEndpoint(name))
    this.requests = new EndpointRequests(this.agenda, this.random, this.endpoints)
    for (const instance of INSTANCES) this.start(instance)
    this.repeat(TICK_MS, () => {
      for (const endpoint of this.endpoints) if (!endpoint.hangs) endpoint.tick(this.agenda.now)
      for (const process of this.processes.values()) process.tick()
    })
    this.repeat(OFFER_MS, () => {
      for (const process of this.processes.values())
        process.act(() => {
          process.offer()
        })
    })
    this.repeat(HEARTBEAT_MS, () => {
      for (const endpoint of this.endpoints) this.heartbeat(endpoint)
    })
  }

  get instances(): readonly string[] {
    return INSTANCES
  }

  /** The process of an instance, unless it has ended. */
  running(instance: string): JointProcess | undefined {
    const process = this.processes.get(instance)
    return process?.isUp === true ? process : undefined
  }

  start(instance: string): void {
    if (this.running(instance) !== undefined) return
    const keepsBoot = this.broken === JointRule.BootsDiffer
    const boot = keepsBoot ? 100 : this.boots++
    const peers = INSTANCES.filter((peer) => peer !== instance).map((peer) => {
      return { instance: peer, zone: zoneOf(peer) }
    })
    const now = (): number => this.agenda.now
    const send = (to: string, envelope: Envelope): void => {
      this.network.send({ from: instance, fromBoot: boot, to, envelope: this.altered(envelope) })
    }
    const process: JointProcess = new JointProcess({
      ...{ instance, zone: zoneOf(instance), boot, preset: this.preset, peers, now, send },
      toEndpoint: (action) => {
        this.requests.perform(process, action)
      },
      onCoordinator: (action) => {
        this.performCoordinator(process, action)
      },
    })
    this.processes.set(instance, process)
    this.network.receiverStarted(instance)
  }

  crash(instance: string): void {
    const process = this.running(instance)
    if (process === undefined) return
    process.isUp = false
    this.network.senderEnded(instance)
  }

  /** Whether a process finished draining, and every caller has its answer from it. */
  isDrained(process: JointProcess): boolean {
    const { instance } = process.options
    if (!process.isDrained || process.isFrozen) return false
    for (const submission of this.checks.submissions.values()) {
      if (submission.instance !== instance || submission.answers.length > 0) continue
      // The HTTP interface of the daemon waits for answers that are under way, too.
      if (submission.isAlive()) return false
    }
    return true
  }

  endDrained(process: JointProcess): void {
    const { tasks } = process.owner
    assertThat(tasks === 0, `${process.options.instance} drained with ${tasks} tasks`)
    process.isUp = false
  }

  setPreset(preset: PresetDefinition): void {
    this.preset = preset
    this.version++
    const { version } = this
    for (const process of this.processes.values()) {
      process.act(() => {
        process.setPreset(preset, version)
      })
    }
  }

  setCut(zone: string, cut: boolean): void {
    for (const from of INSTANCES) {
      for (const to of INSTANCES) {
        if (zoneOf(from) === zoneOf(to) || ![zoneOf(from), zoneOf(to)].includes(zone)) continue
        if (cut) this.network.cuts.add(`${from}>${to}`)
        else this.network.cuts.delete(`${from}>${to}`)
        const process = this.running(from)
        process?.act(() => {
          process.linkChanged(to, !cut)
        })
      }
    }
  }

  /** At the end: nothing is held for tasks that have ended. */
  checkLeaks(): void {
    for (const { options, owner, coordinator, isDraining } of this.processes.values()) {
      const { instance } = options
      assertThat(!isDraining, `${instance} never finished draining`)
      assertThat(
        coordinator.jobsInFlight === 0,
        `${instance} keeps ${coordinator.jobsInFlight} jobs`,
      )
      assertThat(owner.tasks === 0, `${instance} keeps ${owner.tasks} tasks`)
      for (const view of owner.endpoints(this.agenda.now)) {
        const held = view.runningTasks + view.heldSlots
        assertThat(held === 0, `${instance} holds ${held} slots of ${view.endpoint}`)
      }
    }
    const load = this.endpoints.reduce((sum, endpoint) => sum + endpoint.load, 0)
    assertThat(load === 0, `${load} tasks still run`)
  }

  private repeat(ms: number, act: () => void): void {
    this.agenda.after(ms, () => {
      act()
      this.repeat(ms, act)
    })
  }

  private makeEndpoint(name: string): JointEndpoint {
    const { random, checks, broken } = this
    const drawRunMs = (): number => random.logBetween(20, 1500)
    const isFailing = (): boolean => random.chance(0.03)
    const fixed = { service: SERVICE, slots: SLOTS, checks, broken, drawRunMs, isFailing }
    return new JointEndpoint({ name, zone: zoneOf(name), ...fixed })
  }

  /** Sent to the owner that the last answer named, or to any instance of the zone. */
  private heartbeat(endpoint: JointEndpoint): void {
    if (!endpoint.up || endpoint.hangs) return
    const { name, zone } = endpoint.options
    const near = INSTANCES.filter((each) => zoneOf(each) === zone)
    const named = this.targets.get(name) ?? ''
    const process = this.running(named) ?? this.running(this.random.pick(near))
    if (process === undefined || process.isFrozen) {
      this.targets.delete(name)
      return
    }
    process.tellOwner({ kind: OwnerEventKind.Heartbeat, announcement: endpoint.announce() })
    const owner = process.owner.ownerOf(name, SERVICE, zone)
    if (owner !== undefined) this.targets.set(name, owner)
  }

  private deliver(message: JointMessage): void {
    const process = this.running(message.to)
    process?.act(() => {
      process.receive(message)
    })
  }

  private altered(envelope: Envelope): Envelope {
    return this.broken === undefined ? envelope : breakEnvelope(this.broken, envelope)
  }

  private performCoordinator(process: JointProcess, action: CoordinatorAction): void {
    if (action.kind === CoordinatorActionKind.Reply) {
      this.checks.noteReply(action.requestId, action.answer)
      const twice = this.broken === JointRule.OneReply
      if (twice) this.checks.noteReply(action.requestId, action.answer)
    }
    if (action.kind === CoordinatorActionKind.Claim) this.claim(process, action.claim)
    if (action.kind !== CoordinatorActionKind.EndClaim) return
    const { end } = action
    this.agenda.after(this.random.between(1, 30), () => {
      this.quorum.end(end)
    })
  }

  private claim(process: JointProcess, claim: KeyClaim): void {
    this.agenda.after(this.random.between(1, 30), () => {
      const isLost = !this.quorumReachable
      // Out of reach, a claim may have been committed with its answer lost.
      const mayBeClaimed = isLost && this.random.chance(0.5)
      const isMade = !isLost || (mayBeClaimed && this.random.chance(0.5))
      const made = isMade ? this.quorum.claim(claim) : undefined
      const answer = isLost ? undefined : made
      const { jobId } = claim
      const kind = CoordinatorEventKind.ClaimAnswered
      process.act(() => {
        process.tellCoordinator({ kind, jobId, answer, mayBeClaimed })
      })
    })
  }
}
