import type { EndpointAnnouncement } from '@cherryhitch/protocol'
import { EndpointState, Outcome, Reason } from '@cherryhitch/protocol'
import type { NotRunHandler } from '../outcomes/NotRunHandler'
import type { TaskResult } from '../outcomes/TaskResult'
import type { TaskSettler } from '../outcomes/TaskSettler'
import type { OwnerContext } from '../OwnerContext'
import type { TaskRecord } from '../tasks/TaskRecord'
import { TaskPhase } from '../tasks/TaskRecord'
import { IN_FLIGHT_GRACE_MS } from '../recovery/inFlightGrace'
import { EndpointReach, EndpointRecord } from './EndpointRecord'

/** Time within which a request arrives at its endpoint; the next heartbeat lists its task. */
const REQUEST_ARRIVAL_MS = 300
/** Maximum number of endpoints whose latest forwarded heartbeat is remembered. */
const MAX_FORWARDED_ENDPOINTS = 10_000

/**
 * Learns endpoints from their heartbeats alone, and forwards heartbeats of endpoints that another
 * instance owns.
 *
 * @internal
 */
export class EndpointDirectory {
  /** Per endpoint, when a heartbeat was last forwarded, and whether it said `leaving`. */
  private readonly forwarded = new Map<string, { at: number; leaving: boolean }>()

  constructor(
    private readonly ctx: OwnerContext,
    private readonly settler: TaskSettler,
    private readonly notRun: NotRunHandler,
  ) {}

  heartbeat(now: number, announcement: EndpointAnnouncement, forwardedBy?: string): void {
    const record = this.ctx.endpoints.get(announcement.endpoint)
    if (record?.owned === true) {
      this.update(now, record, announcement)
      return
    }
    const { endpoint, service, zone } = announcement
    const owner = this.ctx.ownership.ownerOf(endpoint, service, zone)
    if (owner !== this.ctx.instance) this.forward(now, announcement, owner, forwardedBy)
    else if (record !== undefined) this.reclaim(now, record, announcement)
    else this.add(now, announcement)
  }

  /** Adds an endpoint that is not known here. */
  add(now: number, announcement: EndpointAnnouncement): EndpointRecord {
    const record = new EndpointRecord(announcement, now)
    const { handOverWaitMs } = this.ctx.timing
    // The previous owner, if alive, may have dispatched tasks that no heartbeat has listed yet.
    const predecessor = this.ctx.ownership.livePredecessorOf(now, 2 * handOverWaitMs, announcement)
    if (predecessor !== undefined) record.handOverWaitUntil = now + handOverWaitMs
    this.ctx.endpoints.set(record.endpoint, record)
    this.startOwning(now, record)
    return record
  }

  /** Resumes ownership of an endpoint that was handed over and still runs tasks from here. */
  reclaim(now: number, record: EndpointRecord, announcement: EndpointAnnouncement): void {
    record.owned = true
    record.successor = undefined
    this.startOwning(now, record)
    this.update(now, record, announcement)
  }

  remove(record: EndpointRecord): void {
    this.ctx.endpoints.delete(record.endpoint)
    this.stopOwning(record)
  }

  /** Stops dispatching to an endpoint. */
  stopOwning(record: EndpointRecord): void {
    this.ctx.health.remove(record.endpoint)
    const pool = this.ctx.pools.get(record.service)
    if (pool === undefined) return
    pool.removeEndpoint(record)
    this.ctx.dirtyPools.add(pool)
    if (pool.isEmpty) this.ctx.pools.delete(record.service)
  }

  /** Removes an endpoint that runs no task from here and was handed over or silent for long. */
  removeIfGone(now: number, record: EndpointRecord): void {
    if (record.running.size > 0) return
    const { endpointTimeoutMs, forgetEndpointMs } = this.ctx.timing
    const limit = record.leaving ? endpointTimeoutMs : forgetEndpointMs
    if (!record.owned || now - record.lastHeartbeatAt >= limit) this.remove(record)
  }

  private startOwning(now: number, record: EndpointRecord): void {
    this.ctx.health.add(record.endpoint, record.service)
    this.ctx.poolOf(record.service).addEndpoint(record)
    this.updateHeldSlots(now, record)
    this.ctx.refresh(record)
  }

  private update(now: number, record: EndpointRecord, announcement: EndpointAnnouncement): void {
    if (announcement.boot < record.boot) {
      this.ctx.counters.staleHeartbeats++
      return
    }
    const restarted = announcement.boot > record.boot
    if (announcement.service !== record.service) this.changeService(record, announcement.service)
    record.announcement = announcement
    record.candidate.rack = announcement.rack
    record.lastHeartbeatAt = now
    if (restarted) this.handleRestart(now, record)
    if (announcement.state === EndpointState.LEAVING) record.leaving = true
    // The endpoint sends heartbeats, so it may be reachable again.
    if (record.reach === EndpointReach.Unreachable) record.nextProbeAt = now
    this.confirmFences(now, record)
    this.markUnlisted(now, record)
    this.updateHeldSlots(now, record)
    this.ctx.refresh(record)
  }

  private changeService(record: EndpointRecord, service: string): void {
    this.stopOwning(record)
    record.service = service
    this.ctx.health.add(record.endpoint, service)
    this.ctx.poolOf(service).addEndpoint(record)
  }

  /** A new process runs at the endpoint: the tasks of the previous one ended with it. */
  private handleRestart(now: number, record: EndpointRecord): void {
    this.ctx.counters.endpointRestarts++
    record.boot = record.announcement.boot
    record.leaving = false
    record.heldSlots.clear()
    record.backoffUntil = 0
    record.refusals = 0
    const running = new Set(record.announcement.runningTaskIds)
    for (const task of [...record.running.values()]) {
      if (running.has(task.taskId)) task.endpointBoot = record.boot
      else this.endAfterRestart(now, record, task)
    }
  }

  private endAfterRestart(now: number, record: EndpointRecord, task: TaskRecord): void {
    if (task.phase !== TaskPhase.Running) {
      this.settler.settle(now, task, restartedResult)
      return
    }
    // The request may have found the old process gone, which means "not run", or the new one.
    const until = now + this.ctx.timing.restartGraceMs
    task.fallbackEnd = { until, result: restartedResult }
    record.scheduleCheck(until)
  }

  /**
   * Confirms fences for which the endpoint answered "never seen": a later heartbeat of the same
   * boot proves that the endpoint had not restarted.
   */
  private confirmFences(now: number, record: EndpointRecord): void {
    for (const task of [...record.running.values()]) {
      if (task.phase !== TaskPhase.Confirming || now < task.recheckAt) continue
      if (task.endpointBoot === record.boot) this.notRun.handleFenced(now, task)
    }
  }

  /**
   * Marks running tasks that a heartbeat does not list: such a task has ended or never arrived, and
   * its connection may be dead. The endpoint is asked about it only after its answer had time to
   * arrive, so that the usual case costs no message.
   */
  private markUnlisted(now: number, record: EndpointRecord): void {
    if (record.running.size === 0) return
    const listed = new Set(record.announcement.runningTaskIds)
    for (const task of record.running.values()) {
      const arrived = now - task.dispatchedAt >= REQUEST_ARRIVAL_MS
      if (listed.has(task.taskId)) task.missingFromHeartbeatAt = undefined
      else if (arrived && task.phase === TaskPhase.Running && !task.confirmedByRenewal) {
        task.missingFromHeartbeatAt ??= now
        record.scheduleCheck(task.missingFromHeartbeatAt + IN_FLIGHT_GRACE_MS)
      }
    }
  }

  /** Reserves slots for running tasks that were not dispatched from here. */
  private updateHeldSlots(now: number, record: EndpointRecord): void {
    const until = now + this.ctx.timing.endpointTimeoutMs
    const running = record.announcement.runningTaskIds
    for (const taskId of running) {
      if (record.running.has(taskId)) continue
      if (this.ctx.history.get(taskId)?.released === true) continue
      record.heldSlots.set(taskId, { until, listed: true })
    }
    if (record.heldSlots.size === 0) return
    const listed = new Set(running)
    for (const [taskId, slot] of record.heldSlots) {
      if (slot.listed && !listed.has(taskId)) record.heldSlots.delete(taskId)
    }
  }

  private forward(
    now: number,
    announcement: EndpointAnnouncement,
    owner: string | undefined,
    forwardedBy: string | undefined,
  ): void {
    const { endpoint } = announcement
    const leaving = announcement.state === EndpointState.LEAVING
    const last = this.forwarded.get(endpoint)
    // Prevents two instances that consider each other the owner from forwarding in a loop.
    const tooSoon = last !== undefined && now - last.at < this.ctx.timing.heartbeatMs / 2
    const repeated = tooSoon && last.leaving === leaving
    if (owner === undefined || forwardedBy !== undefined || repeated) {
      this.ctx.counters.droppedHeartbeats++
      return
    }
    this.forwarded.delete(endpoint)
    if (this.forwarded.size >= MAX_FORWARDED_ENDPOINTS) this.forwarded.clear()
    this.forwarded.set(endpoint, { at: now, leaving })
    this.ctx.counters.forwardedHeartbeats++
    this.ctx.outbox.send(owner, { case: 'forwardHeartbeat', value: { announcement } })
  }
}

const restartedResult: TaskResult = {
  outcome: Outcome.UNKNOWN,
  reason: Reason.ENDPOINT_LOST,
  detail: 'The endpoint restarted before it answered.',
}
