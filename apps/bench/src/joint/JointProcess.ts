import {
  CoordinatorActionKind,
  CoordinatorEventKind,
  CoordinatorMachine,
} from '@cherryhitch/coordinator'
import type { CoordinatorAction, CoordinatorEvent } from '@cherryhitch/coordinator'
import {
  MembershipActionKind,
  MembershipEventKind,
  MembershipMachine,
} from '@cherryhitch/membership'
import type { KnownInstance, MembershipAction, MembershipEvent } from '@cherryhitch/membership'
import { OwnerActionKind, OwnerEventKind, OwnerMachine } from '@cherryhitch/owner'
import type { OwnerAction, OwnerEvent } from '@cherryhitch/owner'
import type { Envelope, PresetDefinition } from '@cherryhitch/protocol'
import { InstanceState } from '@cherryhitch/protocol'
import type { JointMessage } from './JointNetwork'

/** What a process needs of the run that it is part of. */
export interface JointProcessOptions {
  readonly instance: string
  readonly zone: string
  readonly boot: number
  readonly preset: PresetDefinition
  readonly peers: readonly KnownInstance[]
  readonly now: () => number
  readonly send: (to: string, envelope: Envelope) => void
  readonly toEndpoint: (action: OwnerAction) => void
  readonly onCoordinator: (action: CoordinatorAction) => void
}

/** One process of an instance: its three machines, joined as in the daemon. */
export class JointProcess {
  readonly coordinator: CoordinatorMachine
  readonly owner: OwnerMachine
  isUp = true
  isDraining = false
  private readonly membership: MembershipMachine
  private readonly drained = new Set<string>()
  /** Set while the process is frozen: what it would do. */
  private backlog: (() => void)[] | undefined

  constructor(readonly options: JointProcessOptions) {
    this.coordinator = new CoordinatorMachine(options)
    this.owner = new OwnerMachine(options)
    this.membership = new MembershipMachine({ ...options, endpointAddress: options.instance })
    this.tellMembership({ kind: MembershipEventKind.LocalState, state: InstanceState.SERVING })
    for (const { instance: peer } of options.peers) {
      this.tellMembership({ kind: MembershipEventKind.LinkUp, peer, roundTripMs: 2 })
    }
  }

  get isDrained(): boolean {
    return this.drained.size === 2
  }

  get isFrozen(): boolean {
    return this.backlog !== undefined
  }

  freeze(): void {
    this.backlog ??= []
  }

  thaw(): void {
    const { backlog = [] } = this
    this.backlog = undefined
    for (const act of backlog) this.act(act)
  }

  /** Does something now, after the freeze, or never, when the process has ended. */
  act(act: () => void): void {
    if (!this.isUp) return
    if (this.backlog === undefined) act()
    else this.backlog.push(act)
  }

  tick(): void {
    if (this.backlog !== undefined || !this.isUp) return
    const now = this.options.now()
    this.performAll(this.membership.tick(now), this.performMembership)
    this.performAll(this.owner.tick(now), this.performOwner)
    this.performAll(this.coordinator.tick(now), this.performCoordinator)
  }

  offer(urgent = false): void {
    this.tellMembership({
      kind: MembershipEventKind.LocalOffer,
      services: this.owner.summaries(this.options.now()),
      jobsInFlight: this.coordinator.jobsInFlight,
      settingsVersion: 1,
      urgent,
    })
  }

  setPreset(preset: PresetDefinition, version: number): void {
    this.tellOwner({ kind: OwnerEventKind.Preset, preset })
    this.tellCoordinator({ kind: CoordinatorEventKind.Preset, preset, version, current: true })
  }

  drain(): void {
    this.isDraining = true
    this.tellMembership({ kind: MembershipEventKind.LocalState, state: InstanceState.DRAINING })
    this.tellOwner({ kind: OwnerEventKind.Drain })
    this.tellCoordinator({ kind: CoordinatorEventKind.Drain })
  }

  linkChanged(peer: string, up: boolean): void {
    const { LinkUp, LinkDown } = MembershipEventKind
    this.tellMembership(up ? { kind: LinkUp, peer, roundTripMs: 2 } : { kind: LinkDown, peer })
  }

  receive({ from, fromBoot, envelope }: JointMessage): void {
    const { body } = envelope
    switch (body.case) {
      case 'placeTasks':
      case 'cancelTasks':
      case 'fenceTasks':
      case 'handOverEndpoints':
      case 'releaseSlots':
      case 'forwardHeartbeat':
        this.tellOwner({ kind: OwnerEventKind.Message, from, message: body })
        return
      case 'taskReports':
      case 'fenceReports':
      case 'forwardJob':
      case 'jobQuery':
      case 'jobReply':
        this.tellCoordinator({ kind: CoordinatorEventKind.Message, from, message: body })
        return
      case 'instanceHeartbeat': {
        const heartbeat = body.value
        const kind = MembershipEventKind.Heartbeat
        this.tellMembership({ kind, from, boot: fromBoot, heartbeat })
        return
      }
      default:
        throw new Error(`no part takes ${body.case ?? 'an empty envelope'}`)
    }
  }

  tellOwner(event: OwnerEvent): void {
    this.performAll(this.owner.step(this.options.now(), event), this.performOwner)
  }

  tellCoordinator(event: CoordinatorEvent): void {
    this.performAll(this.coordinator.step(this.options.now(), event), this.performCoordinator)
  }

  private tellMembership(event: MembershipEvent): void {
    this.performAll(this.membership.step(this.options.now(), event), this.performMembership)
  }

  private performAll<A>(actions: readonly A[], perform: (action: A) => void): void {
    for (const action of actions) perform(action)
  }

  private readonly performOwner = (action: OwnerAction): void => {
    if (action.kind === OwnerActionKind.Send) this.options.send(action.to, action.envelope)
    else if (action.kind === OwnerActionKind.SummaryChanged) this.offer(true)
    else if (action.kind === OwnerActionKind.Drained) this.drained.add('owner')
    else if (action.kind !== OwnerActionKind.Span) this.options.toEndpoint(action)
  }

  private readonly performCoordinator = (action: CoordinatorAction): void => {
    if (action.kind === CoordinatorActionKind.Send) this.options.send(action.to, action.envelope)
    else if (action.kind === CoordinatorActionKind.Drained) this.drained.add('coordinator')
    else this.options.onCoordinator(action)
  }

  private readonly performMembership = (action: MembershipAction): void => {
    if (action.kind === MembershipActionKind.Send) this.options.send(action.to, action.envelope)
    if (action.kind !== MembershipActionKind.ViewChanged) return
    const { members } = action
    this.tellOwner({ kind: OwnerEventKind.Members, members })
    this.tellCoordinator({ kind: CoordinatorEventKind.Members, members })
  }
}
