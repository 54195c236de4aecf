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
import { DueKind } from '../timers/DueItem'
import type { ReportDesk } from './ReportDesk'
import type { Retries } from './Retries'
import type { TaskFlight } from './TaskFlight'

/** An owner's word that it never saw a task, until its boot is confirmed. */
interface UnconfirmedFence {
  readonly task: TaskRecord
  readonly placement: Placement
  readonly receivedAt: number
}

/** Boot of no process: nobody speaks for the task any more. */
const NO_BOOT = -1

const neverSeen = problem(Reason.OWNER_LOST, 'The message with the task was lost on its way.')
const ownerLost = problem(
  Reason.OWNER_LOST,
  'The owner of a task was lost, and the lease of the task has run out.',
)

/**
 * Finds out what became of tasks whose owner is silent, restarted or late, and gives them up
 * once their lease has run out.
 *
 * @internal
 */
export class LossWatch {
  private readonly unconfirmed = new Map<string, UnconfirmedFence[]>()

  constructor(
    private readonly context: CoordinatorContext,
    private readonly flight: TaskFlight,
    private readonly reports: ReportDesk,
    private readonly retries: Retries,
    private readonly ending: JobEnding,
  ) {}

  takeChange(now: number, change: MemberChange): void {
    const { inFlight, counters } = this.context
    const tasks = inFlight.of(change.instance)
    if (change.kind === MemberChangeKind.Restarted)
      this.context.outbox.forgetCancels(change.instance)
    if (tasks.size === 0) return
    if (change.kind === MemberChangeKind.Back) {
      this.ask(change.instance, tasks)
      return
    }
    counters.ownersLost++
    this.scheduleLoss(now, change)
    // An owner that drained may have passed its queue on to another one of its zone.
    for (const mate of this.context.members.zoneMates(change.instance)) this.ask(mate, tasks)
    if (change.kind === MemberChangeKind.Restarted) this.ask(change.instance, tasks)
  }

  /** The leases of a lost owner's tasks have run out, unless it came back. */
  ownerGone(now: number, owner: string, boot: number): void {
    const { members, inFlight } = this.context
    if (members.isPresent(owner, boot)) return
    if (members.bootOf(owner) === boot && now < this.leaseEnd(owner)) {
      this.context.due.schedule(this.leaseEnd(owner), { kind: DueKind.OwnerGone, owner, boot })
      return
    }
    const lost = [...inFlight.of(owner)].filter((task) => task.placement?.boot === boot)
    this.giveUp(now, lost)
  }

  /** Some task of the job takes far longer than expected: a message may have been lost. */
  askAfterLate(now: number, job: Job): void {
    if (job.phase !== JobPhase.Running) return
    job.questionDue = false
    const { timing, members, due } = this.context
    const late = job.tasks.filter((task) => isOlderThan(task, now - timing.askAfterMs))
    const gone: TaskRecord[] = []
    for (const [owner, tasks] of groupBy(late, ownerOf)) {
      if (members.isAlive(owner)) this.ask(owner, tasks)
      else if (now >= this.leaseEnd(owner)) gone.push(...tasks)
    }
    this.giveUp(now, gone)
    const nextAt = now + Math.min(timing.askEveryMaxMs, timing.askAfterMs * 2 ** job.questions++)
    if (job.tasksEnded === job.tasks.length || nextAt >= job.deadlineAt) return
    job.questionDue = true
    due.schedule(nextAt, { kind: DueKind.AskAfterLate, sequence: job.sequence })
  }

  takeFenceReports(now: number, from: string, message: FenceReports): void {
    const job = this.reports.findJob(message.jobId, message.reports.length)
    if (job === undefined) return
    const notRun: TaskRecord[] = []
    let adopted: Placement | undefined
    for (const { index, state } of message.reports) {
      const task = job.tasks[index]
      if (task?.phase !== TaskPhase.InFlight) continue
      if (state === FenceState.NEVER_SEEN && this.isNeverSeen(now, from, task)) notRun.push(task)
      if (state !== FenceState.IN_PROGRESS || this.isKnownOwner(from, task)) continue
      adopted ??= this.adoptingPlacement(now, job, from)
      if (task.placement !== undefined && task.placement.owner !== from) {
        avoid(task, task.placement.owner)
      }
      this.flight.passOn(now, task, adopted)
    }
    this.withdraw(now, job, notRun, from)
  }

  /** A new view may confirm that an owner answered in the boot that was asked. */
  confirmFences(now: number): void {
    for (const [owner, fences] of this.unconfirmed) {
      const heardAt = this.context.members.heardAt(owner)
      const ripe = fences.filter((fence) => heardAt > fence.receivedAt)
      if (ripe.length === 0) continue
      const rest = fences.filter((fence) => heardAt <= fence.receivedAt)
      if (rest.length === 0) this.unconfirmed.delete(owner)
      else this.unconfirmed.set(owner, rest)
      const boot = this.context.members.bootOf(owner)
      const confirmed = ripe.filter((fence) => isCurrent(fence) && fence.placement.boot === boot)
      const byJob = groupBy(confirmed, (fence) => fence.task.job)
      for (const [job, group] of byJob) {
        const tasks = group.map((fence) => fence.task)
        this.withdraw(now, job, tasks, owner)
      }
    }
  }

  private withdraw(now: number, job: Job, tasks: readonly TaskRecord[], from: string): void {
    if (tasks.length === 0) return
    for (const task of tasks) this.flight.withdraw(now, task, from)
    this.retries.consider(now, job, tasks, neverSeen)
  }

  /**
   * Whether an owner's "never seen" may be believed at once. It counts only for the boot that the
   * task was placed with: a new process knows nothing of what the old one started. The report
   * does not name its boot, so a view that is heard later has to.
   */
  private isNeverSeen(now: number, from: string, task: TaskRecord): boolean {
    const { placement } = task
    if (placement === undefined) return false
    if (placement.owner !== from) {
      avoid(task, from)
      return false
    }
    const isTooOld = now - placement.placedAt > this.context.timing.fenceTrustMs
    if (placement.isAdopted || isTooOld) {
      this.disown(now, task, placement)
      return false
    }
    if (from === this.context.options.instance) return true
    const fence = { task, placement, receivedAt: now }
    const present = this.unconfirmed.get(from)
    if (present === undefined) this.unconfirmed.set(from, [fence])
    else if (!present.some((other) => other.task === task)) present.push(fence)
    return false
  }

  /**
   * An owner's "never seen" proves nothing. It may have forgotten the task; or it said before that
   * it has the task, which was an earlier boot of it then. What was started is not known, so the
   * task ends as unknown after a lease.
   */
  private disown(now: number, task: TaskRecord, { owner, spanId }: Placement): void {
    const { due, timing } = this.context
    this.flight.passOn(now, task, adoptedPlacement(now, owner, NO_BOOT, spanId))
    const at = now + timing.leaseMs + timing.leaseMarginMs
    due.schedule(at, { kind: DueKind.OwnerGone, owner, boot: NO_BOOT })
  }

  private isKnownOwner(from: string, task: TaskRecord): boolean {
    const { placement } = task
    return placement?.owner === from && placement.boot === this.context.members.bootOf(from)
  }

  private adoptingPlacement(now: number, job: Job, owner: string): Placement {
    this.context.counters.passedOnReports++
    const spanId = deriveSpanId(`${job.id}/place/${job.placements++}`)
    return adoptedPlacement(now, owner, this.context.members.bootOf(owner), spanId)
  }

  private giveUp(now: number, tasks: readonly TaskRecord[]): void {
    const lost = tasks.filter((task) => task.phase === TaskPhase.InFlight)
    this.context.counters.tasksLost += lost.length
    for (const [job, group] of groupBy(lost, (task) => task.job)) {
      for (const task of group) this.flight.fail(now, task)
      this.ending.fail(now, job, ownerLost)
    }
  }

  private ask(owner: string, tasks: Iterable<TaskRecord>): void {
    for (const [job, group] of groupBy(tasks, (task) => task.job)) {
      const indexes = group.map((task) => task.index)
      const value = create(FenceTasksSchema, { jobId: job.id, indexes })
      this.context.counters.fenceMessages++
      this.context.outbox.send(owner, { case: 'fenceTasks', value })
    }
  }

  private scheduleLoss(now: number, change: MemberChange): void {
    const { timing, due } = this.context
    const { kind, instance, boot, heardAt } = change
    const leaseMs = timing.leaseMs + timing.leaseMarginMs
    const isRestart = kind === MemberChangeKind.Restarted
    // When the earlier boot renewed its leases last is not known once a later one is heard.
    const at = isRestart ? now + leaseMs : Math.max(now, heardAt + leaseMs)
    due.schedule(at, { kind: DueKind.OwnerGone, owner: instance, boot })
  }

  private leaseEnd(owner: string): number {
    const { members, timing } = this.context
    return members.heardAt(owner) + timing.leaseMs + timing.leaseMarginMs
  }
}

function avoid(task: TaskRecord, instance: string): void {
  if (!task.avoided.includes(instance)) task.avoided = [...task.avoided, instance]
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
