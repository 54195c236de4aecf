import { HealthFailure } from '@cherryhitch/policy'
import { estimateSubject } from '../DispatchCore'
import type { DispatchCore } from '../DispatchCore'
import type { Job, Task } from '../jobs/Job'
import { decideOverrun, overrunThresholdMs, OverrunDecision } from '../scheduling/overrun'
import type { Run } from './Run'
import type { RunOutcomeRecorder } from './RunOutcomeRecorder'
import type { RunTracker } from './RunTracker'

/** A run that was confirmed by its endpoint, was not ordered to stop and belongs to a known job. */
interface ConfirmedRun extends Run {
  readonly task: Task
  readonly confirmedAt: number
}

/**
 * Handles runs that take far longer than estimated: stops those that appear to hang, and lets the
 * others continue. Each of them raises the estimate, since its task takes at least that long.
 *
 * @internal
 */
export class OverrunDetector {
  constructor(
    private readonly core: DispatchCore,
    private readonly runs: RunTracker,
    private readonly health: RunOutcomeRecorder,
  ) {}

  tick(now: number, jobs: Iterable<Job>): void {
    for (const job of jobs) {
      for (const { run } of job.tasks) {
        if (isConfirmed(run) && isOverrun(now, run)) this.#handleOverrun(now, job, run)
      }
    }
  }

  #handleOverrun(now: number, job: Job, run: ConfirmedRun): void {
    const { task, endpoint, confirmedAt, expectedMs } = run
    const otherEndpoints = this.#otherEndpoints(now, job, run)
    const ms = now - confirmedAt
    const ownMs = ms / this.core.slownessOf(now, endpoint)
    const evidence = {
      otherEndpoints,
      isEndpointSound: endpoint.lastTimelyRunAt > confirmedAt,
      freshMs: ownMs,
      leftMs: job.deadlineAt - now,
    }
    const verdict = decideOverrun(evidence)
    const { estimateMs } = job.step(task)
    this.core.estimator.observeAtLeast(now, estimateSubject(job.route, estimateMs), ownMs)
    job.raiseEstimate(task, ownMs)
    job.anomalies.overruns++
    this.core.log('run takes far longer than estimated', {
      job: job.id,
      task: run.name,
      run: run.number,
      endpoint: endpoint.id,
      ms: Math.round(ms),
      expectedMs: Math.round(expectedMs),
      verdict,
      ...evidence,
    })
    if (verdict === OverrunDecision.Stop) this.#stop(now, run)
    else this.#extend(run, ms)
  }

  #stop(now: number, run: ConfirmedRun): void {
    this.core.counters.overruns_stopped++
    run.task.overrunEndpoints.add(run.endpoint.id)
    this.health.noteFailure(now, run, HealthFailure.Lost)
    this.runs.stop(now, run, 'it takes too long')
  }

  #extend(run: ConfirmedRun, ms: number): void {
    this.core.counters.overruns_kept++
    run.expectedMs = ms
    run.endpoint.noteChange()
  }

  /**
   * Counts the other endpoints where this task was stopped for an overrun, or where tasks of the
   * same step overrun as well.
   */
  #otherEndpoints(now: number, job: Job, { task, endpoint, expectedMs }: ConfirmedRun): number {
    const others = new Set(task.overrunEndpoints)
    for (const { step, run } of job.tasks) {
      const isAlike = step === task.step && isConfirmed(run)
      if (isAlike && now - run.sentAt >= overrunThresholdMs(expectedMs)) others.add(run.endpoint.id)
    }
    others.delete(endpoint.id)
    return others.size
  }
}

function isConfirmed(run: Run | undefined): run is ConfirmedRun {
  return run?.task !== undefined && run.confirmedAt !== undefined && run.stopReason === ''
}

function isOverrun(now: number, { sentAt, expectedMs }: Run): boolean {
  return now - sentAt >= overrunThresholdMs(expectedMs)
}
