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
import type { NotRunHandler } from './NotRunHandler'
import type { TaskSettler } from './TaskSettler'

/** The end of one run request, as the event reports it. @internal */
export interface RunCompletion {
  readonly endpoint: string
  readonly taskId: string
  readonly run: number
  readonly result: RunResult
}

/** Applies the result of a run request to its task and its endpoint. @internal */
export class RunResultHandler {
  constructor(
    private readonly ctx: OwnerContext,
    private readonly settler: TaskSettler,
    private readonly notRun: NotRunHandler,
    private readonly probes: EndpointProbes,
  ) {}

  handleRunEnded(now: number, completion: RunCompletion): void {
    const record = this.ctx.endpoints.get(completion.endpoint)
    if (record?.openRuns.delete(completion.run) === true) this.ctx.refresh(record)
    const task = this.ctx.registry.get(completion.taskId)
    if (record === undefined || task?.endpoint !== record || !task.closeRequest(completion.run)) {
      this.ctx.counters.lateAnswers++
      return
    }
    this.applyResult(now, record, task, completion.result)
  }

  private applyResult(
    now: number,
    record: EndpointRecord,
    task: TaskRecord,
    result: RunResult,
  ): void {
    switch (result.kind) {
      case RunResultKind.Succeeded:
        this.handleSuccess(now, record, task, result)
        return
      case RunResultKind.Failed:
        this.handleFailure(now, record, task, result)
        return
      case RunResultKind.NotRun:
        this.handleRefusal(now, record, task, result)
        return
      case RunResultKind.Unknown:
        if (!task.reportClosed)
          this.ctx.health.recordFailure(now, toObservation(record, task), HealthFailure.Lost)
        this.settleUnknown(now, task, result.detail)
        return
      case RunResultKind.Lost:
        this.handleLost(now, record, task)
        return
      default:
        exhaustive(result.kind)
    }
  }

  private handleSuccess(
    now: number,
    record: EndpointRecord,
    task: TaskRecord,
    result: RunResult,
  ): void {
    record.refusals = 0
    this.ctx.health.recordSuccess(now, toObservation(record, task), result.runMs)
    const pool = this.ctx.pools.get(task.service)
    pool?.recordRun(now, record.endpoint, result.runMs, task.estimateMs)
    const { output, runMs } = result
    this.settler.settle(now, task, { outcome: Outcome.SUCCEEDED, output, runMs })
  }

  private handleFailure(
    now: number,
    record: EndpointRecord,
    task: TaskRecord,
    result: RunResult,
  ): void {
    record.refusals = 0
    // The failure of a task that was asked to stop does not count against its endpoint.
    const stopped = task.phase === TaskPhase.Stopping
    if (!stopped)
      this.ctx.health.recordFailure(now, toObservation(record, task), HealthFailure.TaskFailed)
    const { detail, runMs } = result
    const reason = stopped ? Reason.DEADLINE_PASSED : Reason.TASK_FAILED
    this.settler.settle(now, task, { outcome: Outcome.FAILED, reason, detail, runMs })
  }

  private handleRefusal(
    now: number,
    record: EndpointRecord,
    task: TaskRecord,
    result: RunResult,
  ): void {
    if (task.requests.length > 0) return
    this.ctx.health.recordFailure(now, toObservation(record, task), HealthFailure.Refused)
    this.probes.backOff(now, record)
    if (!result.answered) this.probes.suspect(now, record)
    // The endpoint knew the task before, so a refusal does not prove that the task did not run.
    if (task.started) this.settleUnknown(now, task, result.detail)
    else if (task.phase === TaskPhase.Running) this.notRun.handleRefusal(now, task, result.detail)
    // A fence request may already have reached this endpoint, so the id can't be used there again.
    else this.notRun.handleFenced(now, task)
  }

  private settleUnknown(now: number, task: TaskRecord, detail: string): void {
    const reason = Reason.ENDPOINT_LOST
    this.settler.settle(now, task, { outcome: Outcome.UNKNOWN, reason, detail })
  }

  /** The request broke without an answer: the endpoint is queried before the task is settled. */
  private handleLost(now: number, record: EndpointRecord, task: TaskRecord): void {
    if (task.requests.length > 0) return
    if (!task.reportClosed)
      this.ctx.health.recordFailure(now, toObservation(record, task), HealthFailure.Lost)
    this.probes.suspect(now, record)
    if (task.fallbackEnd !== undefined) {
      this.settler.settle(now, task, task.fallbackEnd.result)
      return
    }
    if (task.phase !== TaskPhase.Running) return
    task.phase = TaskPhase.Checking
    task.recheckAt = now
    record.scheduleCheck(now)
  }
}

function toObservation(record: EndpointRecord, task: TaskRecord): HealthObservation {
  return { endpoint: record.endpoint, service: record.service, jobId: task.jobId }
}
