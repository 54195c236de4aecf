import { HealthFailure } from '@cherryhitch/policy'
import { estimateSubject } from '../DispatchCore'
import type { DispatchCore } from '../DispatchCore'
import { RunEnd } from './Run'
import type { Run } from './Run'

/** On a healthy endpoint, few tasks take longer than this many times their estimate. */
const TIMELY_FACTOR = 2

/**
 * Feeds the outcomes of runs to the run-time estimates and to the health of endpoints.
 *
 * @internal
 */
export class RunOutcomeRecorder {
  constructor(private readonly core: DispatchCore) {}

  noteEnd(now: number, run: Run, end: RunEnd): void {
    const { counters } = this.core
    switch (end) {
      case RunEnd.Done:
        counters.runs_done++
        this.#noteDone(now, run)
        return
      case RunEnd.Failed:
        counters.runs_failed++
        this.noteFailure(now, run, HealthFailure.TaskFailed)
        return
      case RunEnd.Lost:
        counters.runs_lost++
        return
      case RunEnd.Stopped:
      case RunEnd.NotRun:
    }
  }

  noteFailure(now: number, { endpoint, task }: Run, failure: HealthFailure): void {
    const jobId = task?.job.id ?? ''
    const { id, service } = endpoint
    this.core.health.recordFailure(now, { endpoint: id, service, jobId }, failure)
    endpoint.noteChange()
  }

  #noteDone(now: number, run: Run): void {
    const { task, endpoint, confirmedAt, sentAt, stopReason, expectedMs } = run
    if (task === undefined) return
    const { slowness, estimator, health } = this.core
    const { job } = task
    const { service } = job.route
    const runMs = now - (confirmedAt ?? sentAt)
    if (runMs <= TIMELY_FACTOR * expectedMs) endpoint.lastTimelyRunAt = now
    health.recordSuccess(now, { endpoint: endpoint.id, service, jobId: job.id }, runMs)
    // The run time of a run that was ordered to stop says nothing about its task or endpoint.
    if (stopReason !== '') return
    const estimateMs = job.runMs(task)
    const factor = slowness.slowness(now, endpoint.id)
    const jobTasks = job.tasks.length
    const observed = { endpoint: endpoint.id, service, estimateMs, runMs, job: job.id, jobTasks }
    slowness.observe(now, observed)
    const declaredMs = job.step(task).estimateMs
    estimator.observe(now, estimateSubject(job.route, declaredMs), runMs / factor)
  }
}
