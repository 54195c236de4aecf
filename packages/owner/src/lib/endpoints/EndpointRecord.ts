import type { PlacementCandidate } from '@cherryhitch/policy'
import type { EndpointAnnouncement, Resources } from '@cherryhitch/protocol'
import { EndpointState } from '@cherryhitch/protocol'
import type { OwnerTiming } from '../OwnerOptions'
import type { TaskRecord } from '../tasks/TaskRecord'
import { CONTROL_CONNECTIONS } from './controlConnections'

/** Whether an endpoint can be reached. @public */
export enum EndpointReach {
  Reachable = 'reachable',
  /** Silent, or a request failed; it gets no work until the probe in flight is answered. */
  Suspect = 'suspect',
  /** A probe failed. */
  Unreachable = 'unreachable',
}

/** A slot held by a task of another owner. @internal */
export interface HeldSlot {
  /** Time after which the slot counts as free. */
  readonly until: number
  /** Whether a heartbeat listed the task. */
  readonly listed: boolean
}

/** The picker's view of an endpoint, one object that is updated for each task. */
type MutableCandidate = { -readonly [K in keyof PlacementCandidate]: PlacementCandidate[K] }

/** An endpoint as its owner knows it. @internal */
export class EndpointRecord {
  readonly endpoint: string
  service: string
  /** False once the endpoint was handed over, while tasks from here still run there. */
  owned = true
  /** The owner to which the endpoint was handed over. */
  successor: string | undefined
  boot: number
  /** Never reset within one boot, so that a late heartbeat cannot revert it. */
  leaving: boolean
  reach = EndpointReach.Reachable
  probeSentAt: number | undefined
  nextProbeAt = 0
  probedAliveAt = 0
  /** Time before which the endpoint gets no work, after refusals. */
  backoffUntil = 0
  refusals = 0
  /** Time before which it gets no work, unless its previous owner hands it over earlier. */
  handOverWaitUntil = 0
  /** Tasks dispatched from here that may hold a slot. */
  readonly running = new Map<string, TaskRecord>()
  /** Slots held by tasks of other owners, by task id. */
  readonly heldSlots = new Map<string, HeldSlot>()
  /** Connections that the previous owner still holds. */
  heldConnections = 0
  heldConnectionsOwner: string | undefined
  /** Numbers of the open run requests. */
  readonly openRuns = new Set<number>()
  usedCores = 0
  usedMemoryMb = 0
  usedAccelerators = 0
  /** Task ids for the next StopTasks; those of the one in flight are in `stopsInFlight`. */
  readonly pendingStops = new Set<string>()
  stopsInFlight: readonly string[] | undefined
  stopsSentAt = 0
  renewalInFlight: readonly string[] | undefined
  renewalSentAt = 0
  /** Earliest time at which a lease, deadline or query of its tasks needs attention. */
  nextCheckAt = Infinity
  /** Position in its pool's list of endpoints with a free slot; -1 when it has none. */
  openPosition = -1
  readonly candidate: MutableCandidate

  constructor(
    public announcement: EndpointAnnouncement,
    public lastHeartbeatAt: number,
  ) {
    this.endpoint = announcement.endpoint
    this.service = announcement.service
    this.boot = announcement.boot
    this.leaving = announcement.state === EndpointState.LEAVING
    this.candidate = {
      endpoint: announcement.endpoint,
      rack: announcement.rack,
      slots: announcement.slots,
      busySlots: 0,
      slowness: 1,
      sameJobHere: 0,
      sameJobInRack: 0,
    }
  }

  get address(): string {
    return this.announcement.address
  }

  get slots(): number {
    return this.announcement.slots
  }

  get busySlots(): number {
    return this.running.size + this.heldSlots.size
  }

  /** Maximum number of connections that this owner may hold. */
  get maxConnections(): number {
    return Math.max(1, this.announcement.connections - this.heldConnections)
  }

  /** Connections for running tasks; the others are reserved for stops, leases and probes. */
  get runConnections(): number {
    return Math.max(1, this.maxConnections - CONTROL_CONNECTIONS)
  }

  /** Slots in which a task could start now, as far as slots and connections go. */
  get freeSlots(): number {
    if (!this.owned || this.leaving) return 0
    const slots = this.slots - this.busySlots
    const connections = this.runConnections - this.openRuns.size
    return Math.max(0, Math.min(slots, connections))
  }

  /** Whether the endpoint, when idle, has enough resources for a task. */
  couldHold(resources: Resources | undefined): boolean {
    const capacity = this.announcement.capacity
    if (resources === undefined || capacity === undefined) return true
    return (
      resources.cores <= capacity.cores &&
      resources.memoryMb <= capacity.memoryMb &&
      resources.accelerators <= capacity.accelerators
    )
  }

  /** Whether the resources that are not in use are enough for a task. */
  hasRoomFor(resources: Resources | undefined): boolean {
    const capacity = this.announcement.capacity
    if (resources === undefined || capacity === undefined) return true
    // The resources used by other owners' tasks are unknown; each counts as one slot's share.
    const heldShare = this.heldSlots.size / Math.max(1, this.slots)
    return (
      fits(resources.cores, this.usedCores, capacity.cores, heldShare) &&
      fits(resources.memoryMb, this.usedMemoryMb, capacity.memoryMb, heldShare) &&
      fits(resources.accelerators, this.usedAccelerators, capacity.accelerators, heldShare)
    )
  }

  occupy(task: TaskRecord): void {
    this.running.set(task.taskId, task)
    this.addUsage(task.resources, 1)
  }

  vacate(task: TaskRecord): void {
    if (!this.running.delete(task.taskId)) return
    this.addUsage(task.resources, -1)
    this.pendingStops.delete(task.taskId)
  }

  /**
   * Whether the endpoint has been silent for so long that it gets no work: until a probe succeeds,
   * or after `endpointTimeoutMs` until its next heartbeat.
   */
  isSilent(now: number, timing: OwnerTiming): boolean {
    if (now - this.lastHeartbeatAt >= timing.endpointTimeoutMs) return true
    const heardAt = Math.max(this.lastHeartbeatAt, this.probedAliveAt)
    return now - heardAt >= timing.suspectAfterMs
  }

  /** Schedules a check of the endpoint at the given time, unless an earlier one is scheduled. */
  scheduleCheck(at: number): void {
    if (at < this.nextCheckAt) this.nextCheckAt = at
  }

  private addUsage(resources: Resources | undefined, sign: 1 | -1): void {
    if (resources === undefined) return
    this.usedCores += sign * resources.cores
    this.usedMemoryMb += sign * resources.memoryMb
    this.usedAccelerators += sign * resources.accelerators
  }
}

/** Tolerance for rounding errors in sums of fractions, so that a task does not wait for them. */
const ROUNDING_TOLERANCE = 1e-6

function fits(asked: number, used: number, capacity: number, share: number): boolean {
  if (asked <= 0) return true
  return asked <= capacity * (1 - share) - used + ROUNDING_TOLERANCE
}
