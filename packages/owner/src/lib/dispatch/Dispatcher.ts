import type { PlacementCandidate } from '@cherryhitch/policy'
import { HealthState } from '@cherryhitch/policy'
import { Outcome, Reason } from '@cherryhitch/protocol'
import type { EndpointRecord } from '../endpoints/EndpointRecord'
import { EndpointReach } from '../endpoints/EndpointRecord'
import type { TaskSettler } from '../outcomes/TaskSettler'
import { addToJobSpread } from '../outcomes/TaskSettler'
import { OwnerActionKind } from '../OwnerAction'
import type { OwnerContext } from '../OwnerContext'
import { queueSpan, runTraceparent } from '../spans/taskSpans'
import type { TaskRecord } from '../tasks/TaskRecord'
import { TaskPhase } from '../tasks/TaskRecord'
import { NextSlotOutlook } from './NextSlotOutlook'
import type { ServicePool } from './ServicePool'

/**
 * Maximum number of tasks at the head of a queue that are matched against the open endpoints, so
 * that a queue of thousands that fit nowhere is not scanned on each event.
 */
const MAX_TASKS_TRIED = 128

/** After the picker held back this many tasks, it would also hold back those behind them. */
const MAX_TASKS_HELD_BACK = 4

/** Starts queued tasks at endpoints with a free slot. @internal */
export class Dispatcher {
  private nextRun = 1
  private heldBack = 0
  private readonly candidates: PlacementCandidate[] = []

  constructor(
    private readonly ctx: OwnerContext,
    private readonly settler: TaskSettler,
  ) {}

  enqueue(now: number, task: TaskRecord): void {
    const pool = this.ctx.poolOf(task.service)
    task.phase = TaskPhase.Queued
    pool.queue.push(now, task)
    this.ctx.dirtyPools.add(pool)
  }

  /** Dispatches from the pools that changed since the last call. */
  run(now: number): void {
    for (const pool of this.ctx.dirtyPools) this.dispatchFrom(now, pool)
    this.ctx.dirtyPools.clear()
  }

  /** Requests the answer of a task that its endpoint knows, on another connection. */
  join(now: number, task: TaskRecord): void {
    const record = task.endpoint
    if (record === undefined) return
    task.phase = TaskPhase.Running
    task.started = true
    task.missingFromRenewalAt = undefined
    this.ctx.counters.joined++
    this.sendRunRequest(now, task, record, true)
    this.ctx.refresh(record)
  }

  private dispatchFrom(now: number, pool: ServicePool): void {
    if (this.ctx.draining || this.ctx.isZoneDrained) return
    while (pool.openEndpoints.length > 0 && pool.queue.size > 0) {
      let tries = 0
      this.heldBack = 0
      let chosen: EndpointRecord | undefined
      const task = pool.queue.pop(now, (next) => {
        if (next.deadlineAt <= now) return true
        if (++tries > MAX_TASKS_TRIED || this.heldBack >= MAX_TASKS_HELD_BACK) return false
        chosen = this.findEndpoint(now, pool, next)
        return chosen !== undefined
      })
      if (task === undefined) return
      if (task.deadlineAt <= now) this.expire(now, task)
      else if (chosen !== undefined) this.start(now, pool, task, chosen)
    }
  }

  /** Ends a queued task whose deadline has passed. */
  expire(now: number, task: TaskRecord): void {
    this.ctx.counters.expiredQueued++
    this.settler.settle(now, task, {
      outcome: Outcome.NOT_RUN,
      reason: Reason.DEADLINE_PASSED,
      detail: 'The deadline passed while the task was queued.',
    })
  }

  private findEndpoint(
    now: number,
    pool: ServicePool,
    task: TaskRecord,
  ): EndpointRecord | undefined {
    const candidates = this.candidates
    candidates.length = 0
    const count = pool.openEndpoints.length
    // The start of the scan rotates, so that a limited scan is fair to all endpoints.
    pool.cursor = (pool.cursor + 1) % count
    for (let i = 0; i < count && candidates.length < this.ctx.limits.maxCandidates; i++) {
      const record = pool.openEndpoints[(pool.cursor + i) % count]
      if (record === undefined || !this.isEligible(now, record, task)) continue
      if (isAvoided(now, pool, task, record)) continue
      candidates.push(updateCandidate(now, pool, record, task))
    }
    if (candidates.length === 0) return undefined
    const hasMoreOpen = candidates.length === this.ctx.limits.maxCandidates
    const outlook = new NextSlotOutlook(now, pool, hasMoreOpen)
    const pick = this.ctx.picker.pick(now, task, candidates, outlook)
    if (pick === undefined) this.heldBack++
    return pick === undefined ? undefined : this.ctx.endpoints.get(pick.endpoint)
  }

  private isEligible(now: number, record: EndpointRecord, task: TaskRecord): boolean {
    if (record.reach !== EndpointReach.Reachable) return false
    if (now < record.backoffUntil || now < record.handOverWaitUntil) return false
    if (record.isSilent(now, this.ctx.timing)) return false
    if (task.fencedEndpoints.includes(record.endpoint)) return false
    if (!record.hasRoomFor(task.resources)) return false
    const state = this.ctx.health.state(now, record.endpoint)
    if (state === HealthState.Probation) return record.running.size === 0
    return state === HealthState.Healthy
  }

  private start(now: number, pool: ServicePool, task: TaskRecord, record: EndpointRecord): void {
    const span = queueSpan(now, task)
    if (span !== undefined) this.ctx.outbox.push({ kind: OwnerActionKind.Span, span })
    task.phase = TaskPhase.Running
    task.endpoint = record
    task.endpointBoot = record.boot
    task.dispatchedAt = now
    task.unansweredRenewals = 0
    task.missingFromRenewalAt = undefined
    task.missingFromHeartbeatAt = undefined
    task.confirmedByRenewal = false
    task.fallbackEnd = undefined
    task.runSpanId = undefined
    record.occupy(task)
    addToJobSpread(task, record.endpoint, record.candidate.rack)
    this.ctx.counters.dispatched++
    this.sendRunRequest(now, task, record, false)
    record.scheduleCheck(Math.min(task.deadlineAt, now + this.ctx.timing.leaseMs / 2))
    pool.refresh(record)
  }

  private sendRunRequest(
    now: number,
    task: TaskRecord,
    record: EndpointRecord,
    join: boolean,
  ): void {
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

/** Whether the endpoint refused the task recently and the service has other endpoints. */
function isAvoided(
  now: number,
  pool: ServicePool,
  task: TaskRecord,
  record: EndpointRecord,
): boolean {
  if (task.refusedBy !== record.endpoint || now >= task.refusedUntil) return false
  return pool.endpoints.size > 1
}

function updateCandidate(
  now: number,
  pool: ServicePool,
  record: EndpointRecord,
  task: TaskRecord,
): PlacementCandidate {
  const candidate = record.candidate
  candidate.slots = record.slots
  candidate.busySlots = record.busySlots
  candidate.slowness = pool.runTimes.slowness(now, record.endpoint)
  candidate.sameJobHere = task.job.spread?.atEndpoint(record.endpoint) ?? 0
  candidate.sameJobInRack = task.job.spread?.inRack(record.candidate.rack) ?? 0
  return candidate
}
