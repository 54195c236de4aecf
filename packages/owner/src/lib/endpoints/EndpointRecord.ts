import type { PlacementCandidate } from '@cherryhitch/policy'
import type { EndpointAnnouncement, Resources } from '@cherryhitch/protocol'
import { EndpointState } from '@cherryhitch/protocol'
import type { OwnerTiming } from '../OwnerOptions'
import type { TaskRecord } from '../tasks/TaskRecord'
import { CONTROL_CONNECTIONS } from './connectionShares'

/** Whether an endpoint answers. @public */
export enum EndpointReach {
  Reachable = 'reachable',
  /** It was silent or refused a connection; a probe is on its way, and it gets no work till then. */
  Suspect = 'suspect',
  /** A probe failed. */
  Unreachable = 'unreachable',
}

/** A slot that a task of another owner holds. @internal */
export interface HeldSlot {
  /** The slot counts as free after this. */
  readonly until: number
  /** Whether a heartbeat listed it. */
  readonly listed: boolean
}

/** The picker's view of an endpoint, kept and filled in anew for each task. */
type MutableCandidate = { -readonly [K in keyof PlacementCandidate]: PlacementCandidate[K] }

/** One endpoint as its owner knows it. @internal */
export class EndpointRecord {
  readonly endpoint: string
  service: string
  /** False once it was handed over; its tasks from here still run. */
  owned = true
  /** The owner it was handed over to. */
  successor: string | undefined
  boot: number
  /** Leaving is for good within one boot, so that a heartbeat that comes late changes nothing. */
  leaving: boolean
  reach = EndpointReach.Reachable
  probeAskedAt: number | undefined
  nextProbeAt = 0
  probedAliveAt = 0
  /** It gets no work before this, after refusals. */
  pausedUntil = 0
  refusals = 0
  /** It gets no work before this, or the hand-over by its old owner. */
  holdUntil = 0
  /** Tasks dispatched from here that may hold a slot. */
  readonly running = new Map<string, TaskRecord>()
  /** Slots that tasks of other owners hold, by task id. */
  readonly held = new Map<string, HeldSlot>()
  /** Connections of its old owner. */
  heldConnections = 0
  heldBy: string | undefined
  /** Numbers of the open requests. */
  readonly openRuns = new Set<number>()
  usedCores = 0
  usedMemoryMb = 0
  usedAccelerators = 0
  /** Ids that wait for the next StopTasks, and those of the one that is open. */
  readonly pendingStops = new Set<string>()
  stopsAsked: readonly string[] | undefined
  stopsAskedAt = 0
  renewAsked: readonly string[] | undefined
  renewAskedAt = 0
  /** Earliest instant at which something about it is due. */
  dueAt = Infinity
  /** Position in its lane's list of endpoints with a free slot; -1 when it has none. */
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
    return this.running.size + this.held.size
  }

  /** Connections that this owner may hold in all. */
  get maxConnections(): number {
    return Math.max(1, this.announcement.connections - this.heldConnections)
  }

  /** Connections for running tasks; some are kept for stops, leases and probes. */
  get runConnections(): number {
    return Math.max(1, this.maxConnections - CONTROL_CONNECTIONS)
  }

  /** Slots where a task could start now, by the numbers alone. */
  get freeSlots(): number {
    if (!this.owned || this.leaving) return 0
    const slots = this.slots - this.busySlots
    const connections = this.runConnections - this.openRuns.size
    return Math.max(0, Math.min(slots, connections))
  }

  /** Whether the worker, empty, could run a task of this size. */
  couldHold(resources: Resources | undefined): boolean {
    const capacity = this.announcement.capacity
    if (resources === undefined || capacity === undefined) return true
    return (
      resources.cores <= capacity.cores &&
      resources.memoryMb <= capacity.memoryMb &&
      resources.accelerators <= capacity.accelerators
    )
  }

  /** Whether what is left of the worker holds a task of this size. */
  hasRoomFor(resources: Resources | undefined): boolean {
    const capacity = this.announcement.capacity
    if (resources === undefined || capacity === undefined) return true
    // What tasks of other owners use is not known here: each counts as one slot's share.
    const share = this.held.size / Math.max(1, this.slots)
    return (
      fits(resources.cores, this.usedCores, capacity.cores, share) &&
      fits(resources.memoryMb, this.usedMemoryMb, capacity.memoryMb, share) &&
      fits(resources.accelerators, this.usedAccelerators, capacity.accelerators, share)
    )
  }

  occupy(task: TaskRecord): void {
    this.running.set(task.taskId, task)
    this.use(task.resources, 1)
  }

  vacate(task: TaskRecord): void {
    if (!this.running.delete(task.taskId)) return
    this.use(task.resources, -1)
    this.pendingStops.delete(task.taskId)
  }

  /** Nothing was heard of it for so long that it gets no work, till a probe answers at least. */
  isSilent(now: number, timing: OwnerTiming): boolean {
    if (now - this.lastHeartbeatAt >= timing.endpointTimeoutMs) return true
    const heardAt = Math.max(this.lastHeartbeatAt, this.probedAliveAt)
    return now - heardAt >= timing.suspectAfterMs
  }

  /** Asks to be looked at again at an instant, unless that happens before. */
  due(at: number): void {
    if (at < this.dueAt) this.dueAt = at
  }

  private use(resources: Resources | undefined, sign: 1 | -1): void {
    if (resources === undefined) return
    this.usedCores += sign * resources.cores
    this.usedMemoryMb += sign * resources.memoryMb
    this.usedAccelerators += sign * resources.accelerators
  }
}

/** Sums of fractions drift a little; a task must not wait for that. */
const ROUNDING = 1e-6

function fits(asked: number, used: number, capacity: number, share: number): boolean {
  if (asked <= 0) return true
  return asked <= capacity * (1 - share) - used + ROUNDING
}
