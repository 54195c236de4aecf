import { CoordinatorEventKind } from '@cherryhitch/coordinator'
import type { CoordinatorPart } from '@cherryhitch/coordinator'
import type { ControlNode } from '@cherryhitch/control'
import { MembershipEventKind } from '@cherryhitch/membership'
import type { InstanceView } from '@cherryhitch/model'
import type { OwnerPart } from '@cherryhitch/owner'
import { OwnerEventKind } from '@cherryhitch/owner'
import { InstanceState } from '@cherryhitch/protocol'
import type { HttpServer } from '@cherryhitch/http-api'
import type { LinkHost, LinkPeer } from '@cherryhitch/rpc'
import { Effect } from 'effect'
import type { DrainSignal } from './DrainSignal'
import { httpCounters } from './httpCounters'
import type { InstanceTiming } from './InstanceOptions'
import { InstancePhase } from './Readiness'
import type { Readiness } from './Readiness'
import type { InstanceInterfaces } from './startInterfaces'
import type { MembershipPart } from './startMembership'

/** How long the last messages may take to get their receipts. */
const LAST_MESSAGES_MS = 1000
/** An owner that has drained still answers questions about tasks that moved on, in milliseconds. */
const LINGER_MS = 300

/** What an instance is made of once everything has started. @internal */
export interface InstanceContent {
  readonly instance: string
  readonly boot: number
  readonly timing: InstanceTiming
  readonly readiness: Readiness
  readonly interfaces: InstanceInterfaces
  readonly links: LinkHost
  readonly owner: OwnerPart
  readonly coordinator: CoordinatorPart
  readonly control: ControlNode
  readonly membership: MembershipPart
  readonly members: () => readonly InstanceView[]
  readonly ownerDrained: DrainSignal
  readonly coordinatorDrained: DrainSignal
  readonly log: (line: string) => void
}

/** Ports that an instance listens on. @public */
export interface InstancePorts {
  readonly callers: number
  readonly endpoints: number
  readonly operators: number
  readonly instances: number
}

/** How a drain ended. @public */
export enum DrainEnd {
  /** Everything in progress was finished. */
  Complete = 'complete',
  /** The limit came first; the log says what was cut. */
  CutOff = 'cut_off',
}

/**
 * One running instance. It ends with its scope; `drain` goes before that.
 *
 * @public
 */
export class Instance {
  /** @internal */
  constructor(private readonly content: InstanceContent) {}

  get name(): string {
    return this.content.instance
  }

  get phase(): InstancePhase {
    return this.content.readiness.current
  }

  get ports(): InstancePorts {
    const { interfaces, links } = this.content
    return {
      callers: interfaces.callers.port,
      endpoints: interfaces.endpoints.port,
      operators: interfaces.operators.port,
      instances: links.port,
    }
  }

  get control(): ControlNode {
    return this.content.control
  }

  /** Tells where the other instances listen, when the settings could not. */
  setPeers(peers: readonly LinkPeer[]): void {
    this.content.links.setPeers(peers)
  }

  /** The instances as this one sees them. */
  members(): readonly InstanceView[] {
    return this.content.members()
  }

  /** What each part has counted. */
  counters(): Readonly<Record<string, Readonly<Record<string, number>>>> {
    const { links, owner, coordinator, membership, control, interfaces } = this.content
    return {
      links: { ...links.counters() },
      owner: { ...owner.counters() },
      coordinator: { ...coordinator.counters() },
      membership: { ...membership.counters() },
      control: control.counters(),
      http_callers: httpCounters(interfaces.callers),
      http_endpoints: httpCounters(interfaces.endpoints),
      http_operators: httpCounters(interfaces.operators),
    }
  }

  jobsInFlight(): number {
    return this.content.coordinator.jobsInFlight()
  }

  /**
   * Takes the instance out of service without cutting off a request: readiness goes off, the
   * balancer gets time to see it, endpoints are handed over, and work in progress ends.
   */
  drain(): Effect.Effect<DrainEnd> {
    const { readiness, timing, log } = this.content
    return Effect.gen({ self: this }, function* () {
      if (readiness.current === InstancePhase.Draining) return DrainEnd.Complete
      readiness.enter(InstancePhase.Announcing)
      // Callers then open their next connection through the balancer, which goes elsewhere.
      for (const server of this.servers()) server.closeAfterAnswers()
      log(`readiness is off, draining starts in ${timing.balancerDelayMs} ms`)
      yield* Effect.sleep(timing.balancerDelayMs)
      readiness.enter(InstancePhase.Draining)
      this.startDraining()
      const end = yield* Effect.timeoutOption(this.awaitDrained(), timing.drainLimitMs)
      readiness.enter(InstancePhase.Stopped)
      if (end._tag === 'Some') {
        log('drained')
        return DrainEnd.Complete
      }
      log(`drain limit reached, ${this.jobsInFlight()} jobs are cut off`)
      return DrainEnd.CutOff
    })
  }

  private startDraining(): void {
    const { membership, owner, coordinator, log } = this.content
    log('draining')
    this.content.interfaces.callers.stopAccepting()
    membership.tell({ kind: MembershipEventKind.LocalState, state: InstanceState.DRAINING })
    coordinator.tell({ kind: CoordinatorEventKind.Drain })
    owner.tell({ kind: OwnerEventKind.Drain })
  }

  /** The last reports and answers still have to leave the process. */
  private awaitDrained(): Effect.Effect<void> {
    const { ownerDrained, coordinatorDrained, interfaces, links } = this.content
    return Effect.gen(function* () {
      yield* coordinatorDrained.wait
      yield* ownerDrained.wait
      yield* interfaces.callers.whenIdle
      yield* links.drain(LAST_MESSAGES_MS)
      yield* Effect.sleep(LINGER_MS)
    })
  }

  private servers(): readonly HttpServer[] {
    const { callers, endpoints, operators } = this.content.interfaces
    return [callers, endpoints, operators]
  }
}
