import type {
  EndpointAnnouncement,
  HandedEndpoint,
  HandOverEndpoints,
  ReleaseSlots,
} from '@cherryhitch/protocol'
import { create } from '@bufbuild/protobuf'
import { HandedEndpointSchema } from '@cherryhitch/protocol'
import { CONTROL_CONNECTIONS } from '../endpoints/controlConnections'
import type { EndpointDirectory } from '../endpoints/EndpointDirectory'
import type { EndpointRecord } from '../endpoints/EndpointRecord'
import { OwnerActionKind } from '../OwnerAction'
import type { OwnerContext } from '../OwnerContext'

/**
 * Moves endpoints between owners. The old owner finishes the tasks that it dispatched, and reports
 * which slots they hold; the new owner starts nothing in those slots.
 *
 * @internal
 */
export class HandOver {
  constructor(
    private readonly ctx: OwnerContext,
    private readonly directory: EndpointDirectory,
  ) {}

  /** Hands over each endpoint that another instance should own now. */
  rebalance(now: number): void {
    const moved = new Map<string, HandedEndpoint[]>()
    for (const record of this.ctx.endpoints.values()) {
      if (!record.owned) continue
      const owner = this.ownerOf(record)
      if (owner === undefined || owner === this.ctx.instance) continue
      const silentMs = now - record.lastHeartbeatAt
      const endpoint = this.handOver(record, owner)
      // The new owner would treat a silent endpoint as one that has just sent a heartbeat.
      if (silentMs >= this.ctx.timing.endpointTimeoutMs) continue
      const handed = moved.get(owner) ?? []
      handed.push(endpoint)
      moved.set(owner, handed)
    }
    for (const [owner, endpoints] of moved) {
      this.ctx.outbox.send(owner, { case: 'handOverEndpoints', value: { endpoints } })
    }
  }

  /** Frees connections held by dead instances; their slots are freed by heartbeats or time-out. */
  clearDeadHolders(): void {
    for (const record of this.ctx.endpoints.values()) {
      if (
        record.heldConnectionsOwner === undefined ||
        this.ctx.ownership.isAlive(record.heldConnectionsOwner)
      )
        continue
      record.heldConnectionsOwner = undefined
      record.heldConnections = 0
      this.ctx.refresh(record)
    }
  }

  /** Takes over endpoints from their previous owner. */
  takeOver(now: number, from: string, handed: HandOverEndpoints): void {
    for (const { announcement, dispatchedTaskIds, connectionsHeld } of handed.endpoints) {
      if (announcement === undefined) continue
      const record = this.ownedRecordFor(now, announcement)
      if (record === undefined) continue
      this.ctx.counters.endpointsTakenOver++
      const until = now + this.ctx.timing.leaseMs + this.ctx.timing.leaseSlackMs
      for (const taskId of dispatchedTaskIds) {
        const listed = record.heldSlots.get(taskId)?.listed ?? false
        if (!record.running.has(taskId)) record.heldSlots.set(taskId, { until, listed })
      }
      record.heldConnectionsOwner = connectionsHeld > 0 ? from : undefined
      record.heldConnections = connectionsHeld
      record.handOverWaitUntil = 0
      this.ctx.refresh(record)
    }
    // If this instance is draining itself, the endpoints move on to their next owner.
    if (this.ctx.draining) this.rebalance(now)
  }

  /** Frees the slots of the previous owner's tasks that have ended. */
  applyRelease(from: string, release: ReleaseSlots): void {
    const record = this.ctx.endpoints.get(release.endpoint)
    if (record?.owned !== true) return
    for (const taskId of release.taskIds) record.heldSlots.delete(taskId)
    if (record.heldConnectionsOwner === from) record.heldConnections = release.connectionsHeld
    this.ctx.refresh(record)
  }

  /** Tells new owners which held slots have become free. */
  sendReleases(): void {
    for (const [endpoint, taskIds] of this.ctx.releasedSlots) {
      const record = this.ctx.endpoints.get(endpoint)
      if (record?.successor === undefined) continue
      const connectionsHeld = countHeldConnections(record)
      const value = { endpoint, taskIds, connectionsHeld }
      this.ctx.outbox.send(record.successor, { case: 'releaseSlots', value })
      if (record.running.size > 0) continue
      this.ctx.outbox.push({ kind: OwnerActionKind.CloseIdle, endpoint })
      this.directory.remove(record)
    }
    this.ctx.releasedSlots.clear()
  }

  /** Frees held slots whose task was neither released nor listed again in time. */
  expireHeldSlots(now: number, record: EndpointRecord): void {
    if (record.heldSlots.size === 0 && record.heldConnections === 0) return
    for (const [taskId, slot] of record.heldSlots) {
      if (slot.until <= now) record.heldSlots.delete(taskId)
    }
    // Without tasks, the previous owner needs no connections; its release may have been lost.
    if (record.heldSlots.size === 0) record.heldConnections = 0
    this.ctx.refresh(record)
  }

  private ownerOf(record: EndpointRecord): string | undefined {
    return this.ctx.ownership.ownerOf(record.endpoint, record.service, record.announcement.zone)
  }

  private handOver(record: EndpointRecord, owner: string): HandedEndpoint {
    this.ctx.counters.endpointsHandedOver++
    record.owned = false
    record.successor = owner
    this.directory.stopOwning(record)
    this.addSuccessor(record.service, owner)
    const { endpoint, announcement } = record
    if (record.running.size === 0) this.ctx.endpoints.delete(endpoint)
    this.ctx.outbox.push({ kind: OwnerActionKind.CloseIdle, endpoint })
    return create(HandedEndpointSchema, {
      announcement,
      dispatchedTaskIds: [...record.running.keys(), ...record.heldSlots.keys()],
      connectionsHeld: countHeldConnections(record),
    })
  }

  private addSuccessor(service: string, owner: string): void {
    const owners = this.ctx.successors.get(service)
    if (owners === undefined) this.ctx.successors.set(service, new Set([owner]))
    else owners.add(owner)
  }

  private ownedRecordFor(
    now: number,
    announcement: EndpointAnnouncement,
  ): EndpointRecord | undefined {
    const known = this.ctx.endpoints.get(announcement.endpoint)
    if (known === undefined) return this.directory.add(now, announcement)
    if (announcement.boot < known.boot) return undefined
    if (!known.owned) this.directory.reclaim(now, known, announcement)
    return known
  }
}

/** Connections that this owner still holds to an endpoint, those for renewals and stops included. */
function countHeldConnections(record: EndpointRecord): number {
  // Requests that are still open without a task were aborted, and their connections close.
  if (record.running.size === 0) return 0
  return record.openRuns.size + CONTROL_CONNECTIONS
}
