import type { CoordinatorActor } from '@cherryhitch/coordinator'
import type { JobQuestion } from '@cherryhitch/http-api'
import { JobService } from '@cherryhitch/http-api'
import type { JobAnswer, JobSpec } from '@cherryhitch/protocol'
import type { Effect } from 'effect'

/** Connects the caller interface to the coordinator. @internal */
export class InstanceJobs extends JobService {
  constructor(private readonly coordinator: CoordinatorActor) {
    super()
  }

  override submit(job: JobSpec, respondAsync: boolean): Effect.Effect<JobAnswer> {
    return this.coordinator.submit(job, respondAsync)
  }

  override query(question: JobQuestion): Effect.Effect<JobAnswer | undefined> {
    return this.coordinator.query(question)
  }
}
