import type { PlacementCandidate } from '@cherryhitch/policy'
import { HealthState } from '@cherryhitch/policy'
import { Outcome, Reason } from '@cherryhitch/protocol'
import type { EndpointRecord } from '../endpoints/EndpointRecord'
import { EndpointReach } from '../endpoints/EndpointRecord'
import type { TaskEnds } from '../outcomes/TaskEnds'
import { countAtJob } from '../outcomes/TaskEnds'
import { OwnerActionKind } from '../OwnerAction'
import type { OwnerContext } from '../OwnerContext'
import { queueSpan, runTraceparent } from '../spans/taskSpans'
import type { TaskRecord } from '../tasks/TaskRecord'
import { TaskPhase } from '../tasks/TaskRecord'
import { NextSlotOutlook } from './NextSlotOutlook'
import type { ServiceLane } from './ServiceLane'

/**
 * Tasks at the head of a queue that are tried on the open endpoints before giving up: a queue of
 * thousands that fit nowhere must not be scanned with each event.
 */
const MAX_TRIES = 128

/** After the picker rather let so many tasks wait, it would say the same of those behind them. */
const MAX_HELD_BACK = 4

/** Starts queued tasks wherever a slot is free. @internal */
export class Dispatcher {
  private nextRun = 1
  private heldBack = 0
  private readonly candidates: PlacementCandidate[] = []

  constructor(
    private readonly ctx: OwnerContext,
    private readonly ends: TaskEnds,
  ) {}

  enqueue(now: number, task: TaskRecord): void {
    const lane = this.ctx.lane(task.service)
    task.phase = TaskPhase.Queued
    lane.queue.push(now, task)
    this.ctx.dirtyLanes.add(lane)
  }

  /** Looks at the lanes where something changed. */
  run(now: number): void {
    for (const lane of this.ctx.dirtyLanes) this.runLane(now, lane)
    this.ctx.dirtyLanes.clear()
  }

  /** Asks for the answer of a task that its endpoint knows, on another connection. */
  join(now: number, task: TaskRecord): void {
    const record = task.endpoint
    if (record === undefined) return
    task.phase = TaskPhase.Running
    task.started = true
    task.missedAt = undefined
    this.ctx.counters.joined++
    this.request(now, task, record, true)
    this.ctx.refresh(record)
  }

  private runLane(now: number, lane: ServiceLane): void {
    if (this.ctx.draining) return
    while (lane.open.length > 0 && lane.queue.size > 0) {
      let tries = 0
      this.heldBack = 0
      let place: EndpointRecord | undefined
      const task = lane.queue.pop(now, (next) => {
        if (next.deadlineAt <= now) return true
        if (++tries > MAX_TRIES || this.heldBack >= MAX_HELD_BACK) return false
        place = this.findPlace(now, lane, next)
        return place !== undefined
      })
      if (task === undefined) return
      if (task.deadlineAt <= now) this.expire(now, task)
      else if (place !== undefined) this.start(now, lane, task, place)
    }
  }

  /** A queued task whose deadline has passed. */
  expire(now: number, task: TaskRecord): void {
    this.ctx.counters.expiredQueued++
    this.ends.settle(now, task, {
      outcome: Outcome.NOT_RUN,
      reason: Reason.DEADLINE_PASSED,
      detail: 'The deadline passed while the task was queued.',
    })
  }

  private findPlace(now: number, lane: ServiceLane, task: TaskRecord): EndpointRecord | undefined {
    const candidates = this.candidates
    candidates.length = 0
    const count = lane.open.length
    // The scan starts elsewhere each time, so that a bounded one is fair to all endpoints.
    lane.cursor = (lane.cursor + 1) % count
    for (let i = 0; i < count && candidates.length < this.ctx.limits.candidates; i++) {
      const record = lane.open[(lane.cursor + i) % count]
      if (record === undefined || !this.mayStart(now, record, task)) continue
      if (avoids(now, lane, task, record)) continue
      candidates.push(describe(now, lane, record, task))
    }
    if (candidates.length === 0) return undefined
    const moreOpen = candidates.length === this.ctx.limits.candidates
    const outlook = new NextSlotOutlook(now, lane, moreOpen)
    const pick = this.ctx.picker.pick(now, task, candidates, outlook)
    if (pick === undefined) this.heldBack++
    return pick === undefined ? undefined : this.ctx.endpoints.get(pick.endpoint)
  }

  private mayStart(now: number, record: EndpointRecord, task: TaskRecord): boolean {
    if (record.reach !== EndpointReach.Reachable) return false
    if (now < record.pausedUntil || now < record.holdUntil) return false
    if (record.isSilent(now, this.ctx.timing)) return false
    if (task.fencedAt.includes(record.endpoint)) return false
    if (!record.hasRoomFor(task.resources)) return false
    const state = this.ctx.health.state(now, record.endpoint)
    if (state === HealthState.Probation) return record.running.size === 0
    return state === HealthState.Healthy
  }

  private start(now: number, lane: ServiceLane, task: TaskRecord, record: EndpointRecord): void {
    const span = queueSpan(now, task)
    if (span !== undefined) this.ctx.outbox.push({ kind: OwnerActionKind.Span, span })
    task.phase = TaskPhase.Running
    task.endpoint = record
    task.endpointBoot = record.boot
    task.dispatchedAt = now
    task.unansweredRenewals = 0
    task.missedAt = undefined
    task.doubtedAt = undefined
    task.vouched = false
    task.lastChance = undefined
    task.runSpanId = undefined
    record.occupy(task)
    countAtJob(task, record.endpoint, record.candidate.rack)
    this.ctx.counters.dispatched++
    this.request(now, task, record, false)
    record.due(Math.min(task.deadlineAt, now + this.ctx.timing.leaseMs / 2))
    lane.refresh(record)
  }

  private request(now: number, task: TaskRecord, record: EndpointRecord, join: boolean): void {
    const run = this.nextRun++
    task.requests = [...task.requests, run]
    record.openRuns.add(run)
    if (!join) task.leasedAt = now
    this.ctx.outbox.push({
      kind: OwnerActionKind.RunTask,
      endpoint: record.endpoint,
      address: record.address,
      maxConnections: record.maxConnections,
      taskId: task.taskId,
      run,
      endpointBoot: task.endpointBoot,
      service: task.service,
      payload: task.spec.payload,
      resources: task.resources,
      leaseMs: this.ctx.timing.leaseMs,
      deadlineInMs: Math.max(0, task.deadlineAt - now),
      traceparent: runTraceparent(task),
      join,
    })
  }
}

/** An endpoint that refused a task just now is not asked again while there are others. */
function avoids(now: number, lane: ServiceLane, task: TaskRecord, record: EndpointRecord): boolean {
  if (task.refusedBy !== record.endpoint || now >= task.refusedUntil) return false
  return lane.endpoints.size > 1
}

function describe(
  now: number,
  lane: ServiceLane,
  record: EndpointRecord,
  task: TaskRecord,
): PlacementCandidate {
  const candidate = record.candidate
  candidate.slots = record.slots
  candidate.busySlots = record.busySlots
  candidate.slowness = lane.pace.slowness(now, record.endpoint)
  candidate.sameJobHere = task.job.spread?.atEndpoint(record.endpoint) ?? 0
  candidate.sameJobInRack = task.job.spread?.inRack(record.candidate.rack) ?? 0
  return candidate
}
