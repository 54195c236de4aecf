import type { CoordinatorAction } from '@cherryhitch/coordinator'
import { CoordinatorActionKind, CoordinatorEventKind } from '@cherryhitch/coordinator'
import { shippedPresets } from '@cherryhitch/control'
import type { OwnerAction, OwnerEvent, RunTaskAction } from '@cherryhitch/owner'
import { OwnerActionKind, OwnerEventKind, RunResultKind, StopState } from '@cherryhitch/owner'
import type { Envelope, KeyClaim, PresetDefinition } from '@cherryhitch/protocol'
import { SeededRandom } from '@cherryhitch/stand-ins'
import { Agenda } from './Agenda'
import { breakEnvelope } from './breakEnvelope'
import { JointChecks, assertThat } from './JointChecks'
import { JointEndpoint, runResult } from './JointEndpoint'
import type { JointMessage } from './JointNetwork'
import { JointNetwork } from './JointNetwork'
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
const NO_ANSWER_MS = 1000
const HANG_POLL_MS = 100

function zoneOf(name: string): string {
  return name.slice(0, 1)
}

/** Machines, endpoints, network and claims of one run, under the run's own clock. */
export class JointCluster {
  readonly agenda = new Agenda()
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
  private readonly outstanding = new Map<string, () => void>()

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
        this.toEndpoint(() => process, action)
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

  private toEndpoint(getProcess: () => JointProcess, action: OwnerAction): void {
    if (!('endpoint' in action) || action.kind === OwnerActionKind.CloseIdle) return
    const process = getProcess()
    const tell = (event: OwnerEvent): void => {
      this.agenda.after(this.random.between(0.1, 2), () => {
        process.act(() => {
          process.tellOwner(event)
        })
      })
    }
    if (action.kind === OwnerActionKind.RunTask) this.runTask(process, action, tell)
    else if (action.kind === OwnerActionKind.DropRun) {
      this.outstanding.get(requestName(process, action.run))?.()
    } else this.askEndpoint(action, tell)
  }

  /** Whatever becomes of the request, the owner hears of its end once. */
  private runTask(
    process: JointProcess,
    run: RunTaskAction,
    tell: (event: OwnerEvent) => void,
  ): void {
    const name = requestName(process, run.run)
    const answer = (event: OwnerEvent): void => {
      if (this.outstanding.delete(name)) tell(event)
    }
    const { endpoint, taskId } = run
    const fail = (kind: RunResultKind): void => {
      const result = { ...runResult(kind), answered: false }
      answer({ kind: OwnerEventKind.RunEnded, endpoint, taskId, run: run.run, result })
    }
    this.outstanding.set(name, () => {
      fail(RunResultKind.Lost)
    })
    const target = this.endpoint(endpoint)
    const isOnTheWay = this.random.chance(0.02)
    this.agenda.after(this.random.between(0.1, isOnTheWay ? 4000 : 2), () => {
      this.arrive(target, run, answer, fail)
    })
    // A connection that breaks early leaves its request on the way.
    if (isOnTheWay)
      this.agenda.after(5, () => {
        fail(RunResultKind.Lost)
      })
  }

  private arrive(
    target: JointEndpoint,
    run: RunTaskAction,
    answer: (event: OwnerEvent) => void,
    fail: (kind: RunResultKind) => void,
  ): void {
    if (!target.up) fail(RunResultKind.NotRun)
    else if (!target.hangs) target.take(this.agenda.now, run, answer)
    else {
      const { boot } = target
      this.agenda.after(HANG_POLL_MS, () => {
        if (target.boot === boot && target.up) this.arrive(target, run, answer, fail)
        else fail(RunResultKind.Lost)
      })
    }
  }

  private askEndpoint(
    action: Extract<OwnerAction, { address: string }>,
    tell: (event: OwnerEvent) => void,
  ): void {
    const target = this.endpoint(action.endpoint)
    this.agenda.after(this.random.between(0.1, 2), () => {
      const isHeard = target.up && !target.hangs
      // A question may do its work and its answer be lost.
      if (isHeard) target.take(this.agenda.now, action, this.random.chance(0.97) ? tell : ignore)
      if (!isHeard)
        this.agenda.after(NO_ANSWER_MS, () => {
          tell(noAnswer(action))
        })
    })
  }

  private endpoint(name: string): JointEndpoint {
    const endpoint = this.endpoints.find(({ options }) => options.name === name)
    if (endpoint === undefined) throw new Error(`no endpoint ${name}`)
    return endpoint
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

function requestName(process: JointProcess, run: number): string {
  return `${process.options.instance}.${process.options.boot}.${run}`
}

function ignore(): void {
  // The answer is lost.
}

function noAnswer(action: Extract<OwnerAction, { address: string }>): OwnerEvent {
  const { endpoint } = action
  switch (action.kind) {
    case OwnerActionKind.StopTasks: {
      const results = action.taskIds.map((taskId) => ({ taskId, state: StopState.NoAnswer }))
      return { kind: OwnerEventKind.StopEnded, endpoint, results }
    }
    case OwnerActionKind.RenewLeases: {
      const asked = action.taskIds
      return { kind: OwnerEventKind.LeasesRenewed, endpoint, asked, known: undefined }
    }
    default:
      return { kind: OwnerEventKind.ProbeEnded, endpoint, alive: false }
  }
}
