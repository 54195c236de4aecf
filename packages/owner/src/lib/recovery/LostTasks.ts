import { exhaustive } from '@cherryhitch/model'
import { Outcome, Reason } from '@cherryhitch/protocol'
import type { Dispatcher } from '../dispatch/Dispatcher'
import type { StopResult } from '../endpointResults'
import { StopState } from '../endpointResults'
import type { EndpointProbes } from '../endpoints/EndpointProbes'
import type { EndpointRecord } from '../endpoints/EndpointRecord'
import type { NotRunTasks } from '../outcomes/NotRunTasks'
import type { TaskEnd } from '../outcomes/TaskEnd'
import type { TaskEnds } from '../outcomes/TaskEnds'
import { OwnerActionKind } from '../OwnerAction'
import type { OwnerContext } from '../OwnerContext'
import type { TaskRecord } from '../tasks/TaskRecord'
import { CROSSING_MS } from './crossing'
import { TaskPhase } from '../tasks/TaskRecord'

/** A heartbeat that confirms a fence has to come this much later, so that none from before counts. */
const CONFIRM_MARGIN_MS = 100

/**
 * Finds out what became of tasks whose request broke or fell silent.
 *
 * First the endpoint is asked by a renewal whether the task runs: if so, a second request joins
 * it, and nothing is lost. If not, the id is fenced: what was never seen truly did not run and may
 * be tried elsewhere, what had ended is fetched. Without an answer the lease has to run out.
 *
 * @internal
 */
export class LostTasks {
  constructor(
    private readonly ctx: OwnerContext,
    private readonly ends: TaskEnds,
    private readonly notRun: NotRunTasks,
    private readonly dispatcher: Dispatcher,
    private readonly probes: EndpointProbes,
  ) {}

  /** The endpoint renewed its lease: it runs. */
  runs(now: number, record: EndpointRecord, task: TaskRecord, boot: number | undefined): void {
    task.leasedAt = record.renewAskedAt
    task.unansweredRenewals = 0
    task.missedAt = undefined
    task.doubtedAt = undefined
    task.vouched = true
    task.recheckAt = 0
    if (boot !== undefined) task.endpointBoot = boot
    if (task.phase === TaskPhase.Checking) this.dispatcher.join(now, task)
  }

  /** The endpoint answered the renewal, but does not run the task. */
  missed(now: number, task: TaskRecord): void {
    task.unansweredRenewals = 0
    const doubted = task.doubtedAt !== undefined && now - task.doubtedAt >= CROSSING_MS
    if (task.phase === TaskPhase.Checking) this.fence(task)
    else if (task.phase === TaskPhase.Running && doubted) this.fence(task)
    else if (task.phase === TaskPhase.Running) {
      task.missedAt ??= now
      task.recheckAt = now + CROSSING_MS
      task.endpoint?.due(task.recheckAt)
    }
  }

  /** Looks whether the next question about a task is due. */
  tend(now: number, task: TaskRecord): void {
    if (now < task.recheckAt) return
    const missed = task.phase === TaskPhase.Running && task.missedAt !== undefined
    if (missed) this.fence(task)
    else if (task.phase === TaskPhase.Fencing || task.phase === TaskPhase.Stopping) {
      this.ctx.askToStop(task)
    }
  }

  /** Sends what waits to be stopped; one message is open per endpoint, the rest waits for it. */
  sendStops(now: number): void {
    for (const record of this.ctx.stopsWaiting) {
      if (record.stopsAsked !== undefined || record.pendingStops.size === 0) continue
      const taskIds = [...record.pendingStops]
      record.pendingStops.clear()
      record.stopsAsked = taskIds
      record.stopsAskedAt = now
      record.due(now + this.ctx.timing.recheckMs)
      this.ctx.counters.stopMessages++
      const { endpoint, address } = record
      this.ctx.outbox.push({ kind: OwnerActionKind.StopTasks, endpoint, address, taskIds })
    }
    this.ctx.stopsWaiting.clear()
  }

  /** The answer to StopTasks; ids that it leaves out count as unanswered. */
  stopsEnded(
    now: number,
    record: EndpointRecord,
    results: readonly StopResult[],
    boot: number | undefined,
  ): void {
    const asked = record.stopsAsked
    if (asked === undefined) {
      this.ctx.counters.lateAnswers++
      return
    }
    record.stopsAsked = undefined
    const states = new Map(results.map((result) => [result.taskId, result.state]))
    const answers = asked.map((taskId) => states.get(taskId) ?? StopState.NoAnswer)
    if (answers.includes(StopState.NoAnswer)) this.probes.suspect(now, record)
    for (const [position, taskId] of asked.entries()) {
      const task = record.running.get(taskId)
      const state = answers[position]
      if (task !== undefined && state !== undefined) this.stopEnded(now, task, state, boot)
    }
    if (record.pendingStops.size > 0) this.ctx.stopsWaiting.add(record)
  }

  private stopEnded(
    now: number,
    task: TaskRecord,
    state: StopState,
    boot: number | undefined,
  ): void {
    const stopping = task.phase === TaskPhase.Stopping
    if (!stopping && task.phase !== TaskPhase.Fencing) return
    switch (state) {
      case StopState.NeverSeen:
        this.neverSeen(now, task, boot)
        return
      case StopState.Stopped:
        this.stopped(now, task, stopping)
        return
      case StopState.Ended:
        if (!stopping) this.dispatcher.join(now, task)
        else this.endedBeforeStop(now, task)
        return
      case StopState.NoAnswer:
        this.noAnswer(now, task)
        return
      default:
        exhaustive(state)
    }
  }

  /** Only the process that the task was sent to can say that it never saw it. */
  private neverSeen(now: number, task: TaskRecord, boot: number | undefined): void {
    if (task.started || (boot !== undefined && boot !== task.endpointBoot)) {
      this.settleUnknown(now, task, 'The endpoint restarted before it answered.')
    } else if (boot !== undefined || task.muted) this.notRun.fenced(now, task)
    else {
      task.phase = TaskPhase.Confirming
      task.recheckAt = now + CONFIRM_MARGIN_MS
    }
  }

  private stopped(now: number, task: TaskRecord, wanted: boolean): void {
    if (!wanted) {
      this.settleUnknown(now, task, 'It was stopped when its request was lost.')
      return
    }
    this.ends.settle(now, task, {
      outcome: Outcome.FAILED,
      reason: Reason.DEADLINE_PASSED,
      detail: 'It was stopped while it ran, after its deadline had passed.',
      runMs: now - task.dispatchedAt,
    })
  }

  /** Its answer, if one is still open, may come yet; nobody waits long for it. */
  private endedBeforeStop(now: number, task: TaskRecord): void {
    if (task.muted || task.requests.length === 0) this.ends.settle(now, task, pastDeadline)
    else {
      const until = now + CROSSING_MS
      task.lastChance = { until, end: pastDeadline }
      task.endpoint?.due(until)
    }
  }

  private noAnswer(now: number, task: TaskRecord): void {
    task.recheckAt = now + this.ctx.timing.recheckMs
    task.endpoint?.due(task.recheckAt)
    if (task.phase !== TaskPhase.Stopping || task.muted) return
    // Its time is over: nobody waits for the lease, but the slot stays taken till then.
    this.ends.report(now, task, pastDeadline)
  }

  private settleUnknown(now: number, task: TaskRecord, detail: string): void {
    const reason = Reason.ENDPOINT_LOST
    this.ends.settle(now, task, { outcome: Outcome.UNKNOWN, reason, detail })
  }

  /** Idle connections to where one fell silent may be as dead. */
  private closeSilent(task: TaskRecord): void {
    const endpoint = task.endpoint?.endpoint
    if (endpoint === undefined || task.requests.length === 0) return
    this.ctx.outbox.push({ kind: OwnerActionKind.CloseIdle, endpoint })
  }

  private fence(task: TaskRecord): void {
    task.phase = TaskPhase.Fencing
    this.closeSilent(task)
    this.ctx.askToStop(task)
  }
}

const pastDeadline: TaskEnd = {
  outcome: Outcome.UNKNOWN,
  reason: Reason.DEADLINE_PASSED,
  detail: 'The deadline passed after it was dispatched, and no answer came.',
}
