import { CoordinatorEventKind } from '@cherryhitch/coordinator'
import type { CoordinatorActor } from '@cherryhitch/coordinator'
import type { ControlNode } from '@cherryhitch/control'
import { MembershipEventKind } from '@cherryhitch/membership'
import type { InstanceView } from '@cherryhitch/model'
import type { OwnerActor } from '@cherryhitch/owner'
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
import type { MembershipActor } from './startMembership'

/** How long to wait for the receipts of the last messages. */
const LINK_DRAIN_LIMIT_MS = 1000
/** After draining, the owner answers queries about tasks it has handed over for this long. */
const LINGER_MS = 300

/** The started parts of an instance, and the values they share. @internal */
export interface InstanceComponents {
  readonly instance: string
  readonly boot: number
  readonly timing: InstanceTiming
  readonly readiness: Readiness
  readonly interfaces: InstanceInterfaces
  readonly links: LinkHost
  readonly owner: OwnerActor
  readonly coordinator: CoordinatorActor
  readonly control: ControlNode
  readonly membership: MembershipActor
  readonly members: () => readonly InstanceView[]
  readonly ownerDrained: DrainSignal
  readonly coordinatorDrained: DrainSignal
  readonly log: (line: string) => void
}

/** The ports that an instance listens on. @public */
export interface InstancePorts {
  readonly callers: number
  readonly endpoints: number
  readonly operators: number
  readonly instances: number
}

/** How a drain ended. @public */
export enum DrainEnd {
  /** All work in progress was finished. */
  Complete = 'complete',
  /** The time limit was reached first; the log says how many jobs were cut off. */
  CutOff = 'cut_off',
}

/**
 * A running instance. It stops when its scope closes; call `drain` before that.
 *
 * @public
 */
export class Instance {
  /** @internal */
  constructor(private readonly components: InstanceComponents) {}

  get name(): string {
    return this.components.instance
  }

  get phase(): InstancePhase {
    return this.components.readiness.current
  }

  get ports(): InstancePorts {
    const { interfaces, links } = this.components
    return {
      callers: interfaces.callers.port,
      endpoints: interfaces.endpoints.port,
      operators: interfaces.operators.port,
      instances: links.port,
    }
  }

  get control(): ControlNode {
    return this.components.control
  }

  /** Sets the addresses of the other instances, for ports that are only known after the start. */
  setPeers(peers: readonly LinkPeer[]): void {
    this.components.links.setPeers(peers)
  }

  /** All instances, as this one sees them. */
  members(): readonly InstanceView[] {
    return this.components.members()
  }

  /** The counters of each part. */
  counters(): Readonly<Record<string, Readonly<Record<string, number>>>> {
    const { links, owner, coordinator, membership, control, interfaces } = this.components
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
    return this.components.coordinator.jobsInFlight()
  }

  /**
   * Takes the instance out of service without cutting off a request: turns readiness off, gives the
   * load balancer time to see it, hands endpoints over, and waits for work in progress to finish.
   */
  drain(): Effect.Effect<DrainEnd> {
    const { readiness, timing, log } = this.components
    return Effect.gen({ self: this }, function* () {
      if (readiness.current === InstancePhase.Draining) return DrainEnd.Complete
      readiness.enter(InstancePhase.Announcing)
      // Callers then reconnect through the load balancer, which picks another instance.
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
    const { membership, owner, coordinator, log } = this.components
    log('draining')
    this.components.interfaces.callers.stopAccepting()
    membership.tell({ kind: MembershipEventKind.LocalState, state: InstanceState.DRAINING })
    coordinator.tell({ kind: CoordinatorEventKind.Drain })
    owner.tell({ kind: OwnerEventKind.Drain })
  }

  /** Waits until work in progress is done and the last reports and answers are sent. */
  private awaitDrained(): Effect.Effect<void> {
    const { ownerDrained, coordinatorDrained, interfaces, links } = this.components
    return Effect.gen(function* () {
      yield* coordinatorDrained.wait
      yield* ownerDrained.wait
      yield* interfaces.callers.whenIdle
      yield* links.drain(LINK_DRAIN_LIMIT_MS)
      yield* Effect.sleep(LINGER_MS)
    })
  }

  private servers(): readonly HttpServer[] {
    const { callers, endpoints, operators } = this.components.interfaces
    return [callers, endpoints, operators]
  }
}
