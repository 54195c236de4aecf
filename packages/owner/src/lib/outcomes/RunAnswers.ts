import { exhaustive } from '@cherryhitch/model'
import type { HealthObservation } from '@cherryhitch/policy'
import { HealthFailure } from '@cherryhitch/policy'
import { Outcome, Reason } from '@cherryhitch/protocol'
import type { RunResult } from '../endpointResults'
import { RunResultKind } from '../endpointResults'
import type { EndpointProbes } from '../endpoints/EndpointProbes'
import type { EndpointRecord } from '../endpoints/EndpointRecord'
import type { OwnerContext } from '../OwnerContext'
import type { TaskRecord } from '../tasks/TaskRecord'
import { TaskPhase } from '../tasks/TaskRecord'
import type { NotRunTasks } from './NotRunTasks'
import type { TaskEnds } from './TaskEnds'

/** One request's end, as the shell tells it. @internal */
export interface RunEnd {
  readonly endpoint: string
  readonly taskId: string
  readonly run: number
  readonly result: RunResult
}

/** What the end of a request says of its task and its endpoint. @internal */
export class RunAnswers {
  constructor(
    private readonly ctx: OwnerContext,
    private readonly ends: TaskEnds,
    private readonly notRun: NotRunTasks,
    private readonly probes: EndpointProbes,
  ) {}

  ended(now: number, end: RunEnd): void {
    const record = this.ctx.endpoints.get(end.endpoint)
    if (record?.openRuns.delete(end.run) === true) this.ctx.refresh(record)
    const task = this.ctx.book.get(end.taskId)
    if (record === undefined || task?.endpoint !== record || !task.closeRequest(end.run)) {
      this.ctx.counters.lateAnswers++
      return
    }
    this.apply(now, record, task, end.result)
  }

  private apply(now: number, record: EndpointRecord, task: TaskRecord, result: RunResult): void {
    switch (result.kind) {
      case RunResultKind.Succeeded:
        this.succeeded(now, record, task, result)
        return
      case RunResultKind.Failed:
        this.failed(now, record, task, result)
        return
      case RunResultKind.NotRun:
        this.refused(now, record, task, result)
        return
      case RunResultKind.Unknown:
        if (!task.muted)
          this.ctx.health.recordFailure(now, observe(record, task), HealthFailure.Lost)
        this.forgotten(now, task, result.detail)
        return
      case RunResultKind.Lost:
        this.lost(now, record, task)
        return
      default:
        exhaustive(result.kind)
    }
  }

  private succeeded(now: number, at: EndpointRecord, task: TaskRecord, result: RunResult): void {
    at.refusals = 0
    this.ctx.health.recordSuccess(now, observe(at, task), result.runMs)
    const lane = this.ctx.lanes.get(task.service)
    lane?.recordRun(now, at.endpoint, result.runMs, task.estimateMs)
    const { output, runMs } = result
    this.ends.settle(now, task, { outcome: Outcome.SUCCEEDED, output, runMs })
  }

  private failed(now: number, at: EndpointRecord, task: TaskRecord, result: RunResult): void {
    at.refusals = 0
    // A task that was told to stop fails through no fault of its endpoint.
    const stopped = task.phase === TaskPhase.Stopping
    if (!stopped) this.ctx.health.recordFailure(now, observe(at, task), HealthFailure.TaskFailed)
    const { detail, runMs } = result
    const reason = stopped ? Reason.DEADLINE_PASSED : Reason.TASK_FAILED
    this.ends.settle(now, task, { outcome: Outcome.FAILED, reason, detail, runMs })
  }

  private refused(now: number, at: EndpointRecord, task: TaskRecord, result: RunResult): void {
    if (task.requests.length > 0) return
    this.ctx.health.recordFailure(now, observe(at, task), HealthFailure.Refused)
    this.probes.refused(now, at)
    if (!result.answered) this.probes.suspect(now, at)
    // It was known there before, so a refusal now only says that it is gone.
    if (task.started) this.forgotten(now, task, result.detail)
    else if (task.phase === TaskPhase.Running) this.notRun.refused(now, task, result.detail)
    // A fence is on its way there, so the id can't be used there again.
    else this.notRun.fenced(now, task)
  }

  private forgotten(now: number, task: TaskRecord, detail: string): void {
    const reason = Reason.ENDPOINT_LOST
    this.ends.settle(now, task, { outcome: Outcome.UNKNOWN, reason, detail })
  }

  /** No word came back. The endpoint is asked before anything is concluded. */
  private lost(now: number, at: EndpointRecord, task: TaskRecord): void {
    if (task.requests.length > 0) return
    if (!task.muted) this.ctx.health.recordFailure(now, observe(at, task), HealthFailure.Lost)
    this.probes.suspect(now, at)
    if (task.lastChance !== undefined) {
      this.ends.settle(now, task, task.lastChance.end)
      return
    }
    if (task.phase !== TaskPhase.Running) return
    task.phase = TaskPhase.Checking
    task.recheckAt = now
    at.due(now)
  }
}

function observe(record: EndpointRecord, task: TaskRecord): HealthObservation {
  return { endpoint: record.endpoint, service: record.service, jobId: task.jobId }
}
