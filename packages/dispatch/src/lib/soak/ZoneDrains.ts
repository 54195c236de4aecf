import { DispatchEventKind } from '../DispatchEvent'
import type { DispatchEvent } from '../DispatchEvent'

/** Availability zones of the simulated endpoints, which are assigned to them in turn. @internal */
export const SIMULATED_ZONES = ['z0', 'z1', 'z2']

/** How a faulty system handles drains, to test that the checks notice it. @internal */
export enum DrainFault {
  /** A new leader begins its term without the drained zones. */
  NotTakenOver = 'not_taken_over',
  /** The leader that commits a drain does not apply it. */
  NotApplied = 'not_applied',
  /** A copy of an earlier order undoes the one that was acknowledged last. */
  UndoneByCopy = 'undone_by_copy',
}

/** Interface of the simulation to the drains. @internal */
export interface ZoneDrainsOptions {
  /** Undefined for a system without a fault. */
  readonly fault: DrainFault | undefined
  /** Whether a leader is in touch with a majority. */
  readonly hasLeader: () => boolean
  readonly tellLeader: (event: DispatchEvent) => void
  readonly onAcknowledged: (zone: string, drained: boolean) => void
}

/**
 * Orders of operators for whole zones. The simulation does not run the replicated log: an order is
 * committed at once, or not at all while no leader is in touch with a majority.
 *
 * @internal
 */
export class ZoneDrains {
  #committed: ReadonlySet<string> = new Set()

  constructor(private readonly options: ZoneDrainsOptions) {}

  /** The drained zones with which a new leader begins its term. */
  get atTermStart(): ReadonlySet<string> {
    return this.options.fault === DrainFault.NotTakenOver ? new Set() : this.#committed
  }

  /** An operator drains a zone or restores it. */
  set(zone: string, drained: boolean): void {
    if (!this.options.hasLeader()) return
    this.#commit(zone, drained)
    this.options.onAcknowledged(zone, drained)
  }

  /** A copy of the order before a zone's last one arrives; by the rules it has no effect. */
  repeatEarlierOrder(zone: string): void {
    if (this.options.fault !== DrainFault.UndoneByCopy || !this.options.hasLeader()) return
    this.#commit(zone, !this.#committed.has(zone))
  }

  #commit(zone: string, drained: boolean): void {
    const zones = new Set(this.#committed)
    if (drained) zones.add(zone)
    else zones.delete(zone)
    this.#committed = zones
    if (this.options.fault === DrainFault.NotApplied) return
    this.options.tellLeader({ kind: DispatchEventKind.DrainedZones, zones })
  }
}
