import type { EndpointAnnouncement } from '@cherryhitch/protocol'
import { EndpointState, Outcome, Reason } from '@cherryhitch/protocol'
import type { NotRunTasks } from '../outcomes/NotRunTasks'
import type { TaskEnd } from '../outcomes/TaskEnd'
import type { TaskEnds } from '../outcomes/TaskEnds'
import type { OwnerContext } from '../OwnerContext'
import type { TaskRecord } from '../tasks/TaskRecord'
import { TaskPhase } from '../tasks/TaskRecord'
import { CROSSING_MS } from '../recovery/crossing'
import { EndpointReach, EndpointRecord } from './EndpointRecord'

/** By then a request has reached its endpoint, and the next heartbeat lists it. */
const ARRIVAL_MS = 300
/** Endpoints that were passed on lately are remembered up to this number. */
const MAX_FORWARDED = 10_000

/** Makes endpoints known by their heartbeats alone, and passes on those of others. @internal */
export class EndpointDirectory {
  /** When a heartbeat of an endpoint was passed on last, and whether it said `leaving`. */
  private readonly forwarded = new Map<string, { at: number; leaving: boolean }>()

  constructor(
    private readonly ctx: OwnerContext,
    private readonly ends: TaskEnds,
    private readonly notRun: NotRunTasks,
  ) {}

  heartbeat(now: number, announcement: EndpointAnnouncement, forwardedBy?: string): void {
    const record = this.ctx.endpoints.get(announcement.endpoint)
    if (record?.owned === true) {
      this.update(now, record, announcement)
      return
    }
    const { endpoint, service, zone } = announcement
    const owner = this.ctx.ownership.ownerOf(endpoint, service, zone)
    if (owner !== this.ctx.instance) this.passOn(now, announcement, owner, forwardedBy)
    else if (record !== undefined) this.takeBack(now, record, announcement)
    else this.add(now, announcement)
  }

  /** Takes an endpoint in that is not known here. */
  add(now: number, announcement: EndpointAnnouncement): EndpointRecord {
    const record = new EndpointRecord(announcement, now)
    const { settleMs } = this.ctx.timing
    // Its old owner, if it lives, may have dispatched what no heartbeat listed yet.
    const old = this.ctx.ownership.livePredecessorOf(now, 2 * settleMs, announcement)
    if (old !== undefined) record.holdUntil = now + settleMs
    this.ctx.endpoints.set(record.endpoint, record)
    this.own(now, record)
    return record
  }

  /** Takes an endpoint back that was handed over before its last task from here ended. */
  takeBack(now: number, record: EndpointRecord, announcement: EndpointAnnouncement): void {
    record.owned = true
    record.successor = undefined
    this.own(now, record)
    this.update(now, record, announcement)
  }

  /** Forgets an endpoint. */
  remove(record: EndpointRecord): void {
    this.ctx.endpoints.delete(record.endpoint)
    this.disown(record)
  }

  /** It gets no work from here any more. */
  disown(record: EndpointRecord): void {
    this.ctx.health.remove(record.endpoint)
    const lane = this.ctx.lanes.get(record.service)
    if (lane === undefined) return
    lane.removeEndpoint(record)
    this.ctx.dirtyLanes.add(lane)
    if (lane.isEmpty) this.ctx.lanes.delete(record.service)
  }

  /** Forgets endpoints that were silent for long and run nothing from here. */
  forgetIfGone(now: number, record: EndpointRecord): void {
    if (record.running.size > 0) return
    const { endpointTimeoutMs, forgetEndpointMs } = this.ctx.timing
    const limit = record.leaving ? endpointTimeoutMs : forgetEndpointMs
    if (!record.owned || now - record.lastHeartbeatAt >= limit) this.remove(record)
  }

  private own(now: number, record: EndpointRecord): void {
    this.ctx.health.add(record.endpoint, record.service)
    this.ctx.lane(record.service).addEndpoint(record)
    this.hold(now, record)
    this.ctx.refresh(record)
  }

  private update(now: number, record: EndpointRecord, announcement: EndpointAnnouncement): void {
    if (announcement.boot < record.boot) {
      this.ctx.counters.staleHeartbeats++
      return
    }
    const restarted = announcement.boot > record.boot
    if (announcement.service !== record.service) this.moveService(record, announcement.service)
    record.announcement = announcement
    record.candidate.rack = announcement.rack
    record.lastHeartbeatAt = now
    if (restarted) this.restart(now, record)
    if (announcement.state === EndpointState.LEAVING) record.leaving = true
    // It sends, so it may be reached again as well.
    if (record.reach === EndpointReach.Unreachable) record.nextProbeAt = now
    this.confirmFences(now, record)
    this.doubtUnlisted(now, record)
    this.hold(now, record)
    this.ctx.refresh(record)
  }

  private moveService(record: EndpointRecord, service: string): void {
    this.disown(record)
    record.service = service
    this.ctx.health.add(record.endpoint, service)
    this.ctx.lane(service).addEndpoint(record)
  }

  /** A new process answers at the endpoint: what the old one ran is gone with it. */
  private restart(now: number, record: EndpointRecord): void {
    this.ctx.counters.endpointRestarts++
    record.boot = record.announcement.boot
    record.leaving = false
    record.held.clear()
    record.pausedUntil = 0
    record.refusals = 0
    const running = new Set(record.announcement.runningTaskIds)
    for (const task of [...record.running.values()]) {
      if (running.has(task.taskId)) task.endpointBoot = record.boot
      else this.loseTask(now, record, task)
    }
  }

  private loseTask(now: number, record: EndpointRecord, task: TaskRecord): void {
    if (task.phase !== TaskPhase.Running) {
      this.ends.settle(now, task, restartedEnd)
      return
    }
    // Its request may have found the old process gone, which is "not run", or the new one.
    const until = now + this.ctx.timing.restartGraceMs
    task.lastChance = { until, end: restartedEnd }
    record.due(until)
  }

  /** A heartbeat of the same boot, sent after the endpoint answered "never seen", proves it. */
  private confirmFences(now: number, record: EndpointRecord): void {
    for (const task of [...record.running.values()]) {
      if (task.phase !== TaskPhase.Confirming || now < task.recheckAt) continue
      if (task.endpointBoot === record.boot) this.notRun.fenced(now, task)
    }
  }

  /**
   * A running task that a heartbeat does not list has ended or never arrived: its connection may
   * be silent. It is looked into once its answer had time to come; that costs no message before.
   */
  private doubtUnlisted(now: number, record: EndpointRecord): void {
    if (record.running.size === 0) return
    const listed = new Set(record.announcement.runningTaskIds)
    for (const task of record.running.values()) {
      const arrived = now - task.dispatchedAt >= ARRIVAL_MS
      if (listed.has(task.taskId)) task.doubtedAt = undefined
      else if (arrived && task.phase === TaskPhase.Running && !task.vouched) {
        task.doubtedAt ??= now
        record.due(task.doubtedAt + CROSSING_MS)
      }
    }
  }

  /** Running tasks that were not dispatched from here hold slots too. */
  private hold(now: number, record: EndpointRecord): void {
    const until = now + this.ctx.timing.endpointTimeoutMs
    const running = record.announcement.runningTaskIds
    for (const taskId of running) {
      if (record.running.has(taskId)) continue
      if (this.ctx.memory.get(taskId)?.released === true) continue
      record.held.set(taskId, { until, listed: true })
    }
    if (record.held.size === 0) return
    const listed = new Set(running)
    for (const [taskId, slot] of record.held) {
      if (slot.listed && !listed.has(taskId)) record.held.delete(taskId)
    }
  }

  private passOn(
    now: number,
    announcement: EndpointAnnouncement,
    owner: string | undefined,
    forwardedBy: string | undefined,
  ): void {
    const { endpoint } = announcement
    const leaving = announcement.state === EndpointState.LEAVING
    const last = this.forwarded.get(endpoint)
    // Two instances that take each other for the owner must not pass one heartbeat to and fro.
    const tooSoon = last !== undefined && now - last.at < this.ctx.timing.heartbeatMs / 2
    const repeated = tooSoon && last.leaving === leaving
    if (owner === undefined || forwardedBy !== undefined || repeated) {
      this.ctx.counters.droppedHeartbeats++
      return
    }
    this.forwarded.delete(endpoint)
    if (this.forwarded.size >= MAX_FORWARDED) this.forwarded.clear()
    this.forwarded.set(endpoint, { at: now, leaving })
    this.ctx.counters.forwardedHeartbeats++
    this.ctx.outbox.send(owner, { case: 'forwardHeartbeat', value: { announcement } })
  }
}

const restartedEnd: TaskEnd = {
  outcome: Outcome.UNKNOWN,
  reason: Reason.ENDPOINT_LOST,
  detail: 'The endpoint restarted before it answered.',
}
