import { create } from '@bufbuild/protobuf'
import { deriveSpanId, groupBy } from '@cherryhitch/model'
import type { FenceReports } from '@cherryhitch/protocol'
import { FenceState, FenceTasksSchema, Reason } from '@cherryhitch/protocol'
import type { CoordinatorContext } from '../CoordinatorContext'
import type { Job, TaskRecord } from '../jobs/Job'
import { JobPhase, TaskPhase } from '../jobs/Job'
import type { JobEnding } from '../jobs/JobEnding'
import { problem } from '../jobs/jobAnswers'
import { adoptedPlacement } from '../jobs/Placement'
import type { Placement } from '../jobs/Placement'
import type { MemberChange } from '../members/MemberChange'
import { MemberChangeKind } from '../members/MemberChange'
import { TimerKind } from '../timers/CoordinatorTimer'
import type { ReportHandler } from './ReportHandler'
import type { RetryScheduler } from './RetryScheduler'
import type { TaskTracker } from './TaskTracker'

/** A "never seen" reply from an owner whose boot at the time of the reply is not confirmed yet. */
interface UnconfirmedFence {
  readonly task: TaskRecord
  readonly placement: Placement
  readonly receivedAt: number
}

/** Boot number that matches no process: which boot of the owner has the task is unknown. */
const NO_BOOT = -1

const neverSeen = problem(Reason.OWNER_LOST, 'The message with the task was lost on its way.')
const ownerLost = problem(
  Reason.OWNER_LOST,
  'The owner of a task was lost, and the lease of the task has run out.',
)

/**
 * Queries owners about tasks whose owner is unreachable, restarted or late, and fails the tasks
 * once their leases have expired.
 *
 * @internal
 */
export class OwnerLossHandler {
  private readonly unconfirmed = new Map<string, UnconfirmedFence[]>()

  constructor(
    private readonly context: CoordinatorContext,
    private readonly tracker: TaskTracker,
    private readonly reports: ReportHandler,
    private readonly retries: RetryScheduler,
    private readonly ending: JobEnding,
  ) {}

  handleMemberChange(now: number, change: MemberChange): void {
    const { tasksByOwner, counters } = this.context
    const tasks = tasksByOwner.of(change.instance)
    if (change.kind === MemberChangeKind.Restarted)
      this.context.outbox.discardCancels(change.instance)
    if (tasks.size === 0) return
    if (change.kind === MemberChangeKind.Recovered) {
      this.sendFenceRequests(change.instance, tasks)
      return
    }
    counters.ownersLost++
    this.scheduleLeaseExpiry(now, change)
    // A draining owner may have passed its queued tasks on to another owner in its zone.
    for (const peer of this.context.members.liveZonePeers(change.instance))
      this.sendFenceRequests(peer, tasks)
    if (change.kind === MemberChangeKind.Restarted) this.sendFenceRequests(change.instance, tasks)
  }

  /** Fails the tasks of a lost owner once their leases have expired, unless it has returned. */
  handleLeasesExpired(now: number, owner: string, boot: number): void {
    const { members, tasksByOwner } = this.context
    if (members.isAliveInBoot(owner, boot)) return
    if (members.bootOf(owner) === boot && now < this.leaseEndAt(owner)) {
      this.context.timers.schedule(this.leaseEndAt(owner), {
        kind: TimerKind.OwnerLeasesExpired,
        owner,
        boot,
      })
      return
    }
    const lost = [...tasksByOwner.of(owner)].filter((task) => task.placement?.boot === boot)
    this.failLostTasks(now, lost)
  }

  /**
   * Queries owners about tasks that run much longer than expected, as a message may have been
   * lost. Repeats with exponential back-off until the job ends.
   */
  queryLateTasks(now: number, job: Job): void {
    if (job.phase !== JobPhase.Running) return
    job.lateTaskQueryScheduled = false
    const { timing, members, timers } = this.context
    const late = job.tasks.filter((task) => isOlderThan(task, now - timing.lateTaskQueryMs))
    const expired: TaskRecord[] = []
    for (const [owner, tasks] of groupBy(late, ownerOf)) {
      if (members.isAlive(owner)) this.sendFenceRequests(owner, tasks)
      else if (now >= this.leaseEndAt(owner)) expired.push(...tasks)
    }
    this.failLostTasks(now, expired)
    const nextAt =
      now + Math.min(timing.maxQueryIntervalMs, timing.lateTaskQueryMs * 2 ** job.lateTaskQueries++)
    if (job.tasksEnded === job.tasks.length || nextAt >= job.deadlineAt) return
    job.lateTaskQueryScheduled = true
    timers.schedule(nextAt, { kind: TimerKind.QueryLateTasks, sequence: job.sequence })
  }

  handleFenceReports(now: number, from: string, message: FenceReports): void {
    const job = this.reports.findJob(message.jobId, message.reports.length)
    if (job === undefined) return
    const notRun: TaskRecord[] = []
    let adopted: Placement | undefined
    for (const { index, state } of message.reports) {
      const task = job.tasks[index]
      if (task?.phase !== TaskPhase.InFlight) continue
      if (state === FenceState.NEVER_SEEN && this.acceptNeverSeen(now, from, task))
        notRun.push(task)
      if (state !== FenceState.IN_PROGRESS || this.isKnownOwner(from, task)) continue
      adopted ??= this.createAdoptedPlacement(now, job, from)
      if (task.placement !== undefined && task.placement.owner !== from) {
        avoidOwner(task, task.placement.owner)
      }
      this.tracker.passOn(now, task, adopted)
    }
    this.retryNotRun(now, job, notRun, from)
  }

  /**
   * Accepts "never seen" replies from owners whose heartbeat, received after the reply, still shows
   * the boot that the tasks were placed with.
   */
  confirmFences(now: number): void {
    for (const [owner, fences] of this.unconfirmed) {
      const heardAt = this.context.members.heardAt(owner)
      const confirmable = fences.filter((fence) => heardAt > fence.receivedAt)
      if (confirmable.length === 0) continue
      const remaining = fences.filter((fence) => heardAt <= fence.receivedAt)
      if (remaining.length === 0) this.unconfirmed.delete(owner)
      else this.unconfirmed.set(owner, remaining)
      const boot = this.context.members.bootOf(owner)
      const confirmed = confirmable.filter(
        (fence) => isCurrent(fence) && fence.placement.boot === boot,
      )
      const byJob = groupBy(confirmed, (fence) => fence.task.job)
      for (const [job, group] of byJob) {
        const tasks = group.map((fence) => fence.task)
        this.retryNotRun(now, job, tasks, owner)
      }
    }
  }

  private retryNotRun(now: number, job: Job, tasks: readonly TaskRecord[], from: string): void {
    if (tasks.length === 0) return
    for (const task of tasks) this.tracker.markNotRun(now, task, from)
    this.retries.retryOrFail(now, job, tasks, neverSeen)
  }

  /**
   * Returns whether a "never seen" reply proves at once that the task did not run. It does so only
   * for the boot that the task was placed with, as a restarted process has no record of tasks that
   * the earlier one started. The reply does not carry a boot, so the reply of another instance is
   * stored until a later heartbeat confirms the boot.
   */
  private acceptNeverSeen(now: number, from: string, task: TaskRecord): boolean {
    const { placement } = task
    if (placement === undefined) return false
    if (placement.owner !== from) {
      avoidOwner(task, from)
      return false
    }
    const isTooOld = now - placement.placedAt > this.context.timing.fenceTrustMs
    if (placement.isAdopted || isTooOld) {
      this.awaitLeaseExpiry(now, task, placement)
      return false
    }
    if (from === this.context.options.instance) return true
    const fence = { task, placement, receivedAt: now }
    const existing = this.unconfirmed.get(from)
    if (existing === undefined) this.unconfirmed.set(from, [fence])
    else if (!existing.some((other) => other.task === task)) existing.push(fence)
    return false
  }

  /**
   * Handles a "never seen" reply that proves nothing: the owner may have dropped its record of the
   * task, or an earlier boot of it reported that it had the task. Whether the task was started is
   * not known, so it ends with an unknown outcome after one lease.
   */
  private awaitLeaseExpiry(now: number, task: TaskRecord, { owner, spanId }: Placement): void {
    const { timers, timing } = this.context
    this.tracker.passOn(now, task, adoptedPlacement(now, owner, NO_BOOT, spanId))
    const at = now + timing.leaseMs + timing.leaseMarginMs
    timers.schedule(at, { kind: TimerKind.OwnerLeasesExpired, owner, boot: NO_BOOT })
  }

  private isKnownOwner(from: string, task: TaskRecord): boolean {
    const { placement } = task
    return placement?.owner === from && placement.boot === this.context.members.bootOf(from)
  }

  private createAdoptedPlacement(now: number, job: Job, owner: string): Placement {
    this.context.counters.passedOnReports++
    const spanId = deriveSpanId(`${job.id}/place/${job.placements++}`)
    return adoptedPlacement(now, owner, this.context.members.bootOf(owner), spanId)
  }

  private failLostTasks(now: number, tasks: readonly TaskRecord[]): void {
    const lost = tasks.filter((task) => task.phase === TaskPhase.InFlight)
    this.context.counters.tasksLost += lost.length
    for (const [job, group] of groupBy(lost, (task) => task.job)) {
      for (const task of group) this.tracker.fail(now, task)
      this.ending.fail(now, job, ownerLost)
    }
  }

  private sendFenceRequests(owner: string, tasks: Iterable<TaskRecord>): void {
    for (const [job, group] of groupBy(tasks, (task) => task.job)) {
      const indexes = group.map((task) => task.index)
      const value = create(FenceTasksSchema, { jobId: job.id, indexes })
      this.context.counters.fenceMessages++
      this.context.outbox.send(owner, { case: 'fenceTasks', value })
    }
  }

  private scheduleLeaseExpiry(now: number, change: MemberChange): void {
    const { timing, timers } = this.context
    const { kind, instance, boot, heardAt } = change
    const leaseMs = timing.leaseMs + timing.leaseMarginMs
    const isRestart = kind === MemberChangeKind.Restarted
    // The last lease renewal of the earlier boot is not known, so a full lease is allowed from now.
    const at = isRestart ? now + leaseMs : Math.max(now, heardAt + leaseMs)
    timers.schedule(at, { kind: TimerKind.OwnerLeasesExpired, owner: instance, boot })
  }

  private leaseEndAt(owner: string): number {
    const { members, timing } = this.context
    return members.heardAt(owner) + timing.leaseMs + timing.leaseMarginMs
  }
}

function avoidOwner(task: TaskRecord, instance: string): void {
  if (!task.avoidedOwners.includes(instance)) task.avoidedOwners = [...task.avoidedOwners, instance]
}

function ownerOf(task: TaskRecord): string {
  return task.placement?.owner ?? ''
}

function isOlderThan(task: TaskRecord, instant: number): boolean {
  if (task.phase !== TaskPhase.InFlight || task.placement === undefined) return false
  return task.placement.placedAt <= instant
}

function isCurrent({ task, placement }: UnconfirmedFence): boolean {
  const isRunning = task.job.phase === JobPhase.Running && task.phase === TaskPhase.InFlight
  return isRunning && task.placement === placement
}
