/**
 * Constructors of the dispatch messages that are sent thousands of times a second. Each returns an
 * object literal of a fixed shape: the library's `create` uses reflection, which is too slow here.
 */
import type {
  EndpointAnswer,
  EndpointCapacity,
  EndpointOrder,
  HoldFailure,
  HoldFault,
  HoldOrder,
  HoldReport,
  JobOutcome,
  JobStep,
  ListedRun,
  ListedRunEnd,
  StartOrder,
  SteppedJob,
  StopOrder,
  SubmitJob,
} from '../gen/cherryhitch/v1/dispatch_pb'

/** All fields of a message. */
type Fields<M> = Omit<M, '$typeName' | '$unknown'>

/** @public */
export function makeEndpointOrder(fields: Fields<EndpointOrder>): EndpointOrder {
  const { id, endpoint, address, fencingToken, timeoutMs, order } = fields
  const $typeName = 'cherryhitch.v1.EndpointOrder'
  return { $typeName, id, endpoint, address, fencingToken, timeoutMs, order }
}

/** @param leaseEndsAt - undefined leaves the lease unchanged @public */
export function makeHoldOrder(
  leaseEndsAt: number | undefined,
  acknowledgedEnd: number,
  waitMs: number,
): HoldOrder {
  const $typeName = 'cherryhitch.v1.HoldOrder'
  if (leaseEndsAt === undefined) return { $typeName, acknowledgedEnd, waitMs }
  return { $typeName, leaseEndsAt, acknowledgedEnd, waitMs }
}

/** @public */
export function makeStartOrder({
  task,
  run,
  payload,
  orderEndsAt,
}: Fields<StartOrder>): StartOrder {
  return { $typeName: 'cherryhitch.v1.StartOrder', task, run, payload, orderEndsAt }
}

/** @public */
export function makeStopOrder(task: string, run: number): StopOrder {
  return { $typeName: 'cherryhitch.v1.StopOrder', task, run }
}

/** @public */
export function makeEndpointAnswer(id: number, answer: EndpointAnswer['answer']): EndpointAnswer {
  return { $typeName: 'cherryhitch.v1.EndpointAnswer', id, answer }
}

/** @public */
export function makeHoldReport(
  clockMs: number,
  running: ListedRun[],
  ended: ListedRunEnd[],
): HoldReport {
  return { $typeName: 'cherryhitch.v1.HoldReport', clockMs, running, ended }
}

/** @public */
export function makeListedRun(task: string, run: number): ListedRun {
  return { $typeName: 'cherryhitch.v1.ListedRun', task, run }
}

/** @public */
export function makeListedRunEnd({ task, run, position, end }: Fields<ListedRunEnd>): ListedRunEnd {
  return { $typeName: 'cherryhitch.v1.ListedRunEnd', task, run, position, end }
}

/** @public */
export function makeHoldFault(failure: HoldFailure, detail: string): HoldFault {
  return { $typeName: 'cherryhitch.v1.HoldFault', failure, detail }
}

/** @public */
export function makeJobOutcome({
  requestId,
  verdict,
  reason = '',
  retryAfterMs = 0,
  pending = 0,
  term = 0,
  routingVersion = 0,
}: Pick<JobOutcome, 'requestId' | 'verdict'> & Partial<Fields<JobOutcome>>): JobOutcome {
  const $typeName = 'cherryhitch.v1.JobOutcome'
  return { $typeName, requestId, verdict, reason, retryAfterMs, pending, term, routingVersion }
}

/** @public */
export function makeSubmitJob(fields: Fields<SubmitJob>): SubmitJob {
  const { requestId, host, path, spec, remainingMs, waitedMs, earlierAttempts } = fields
  const $typeName = 'cherryhitch.v1.SubmitJob'
  const timing = { remainingMs, waitedMs, earlierAttempts }
  if (spec === undefined) return { $typeName, requestId, host, path, ...timing }
  return { $typeName, requestId, host, path, spec, ...timing }
}

/** @public */
export function makeSteppedJob(jobId: string, payload: string, steps: JobStep[]): SteppedJob {
  return { $typeName: 'cherryhitch.v1.SteppedJob', jobId, payload, steps }
}

/** @public */
export function makeJobStep(fields: Fields<JobStep> & { needs: EndpointCapacity }): JobStep {
  const { count, needs, estimateMs, dependsOn, requiredLabel, dataRack, maxPerEndpoint } = fields
  const $typeName = 'cherryhitch.v1.JobStep'
  const constraints = { dependsOn, requiredLabel, dataRack, maxPerEndpoint }
  return { $typeName, count, needs, estimateMs, ...constraints }
}

/** @public */
export function makeEndpointCapacity(
  cpuMillis: number,
  memoryMb: number,
  gpus: number,
): EndpointCapacity {
  return { $typeName: 'cherryhitch.v1.EndpointCapacity', cpuMillis, memoryMb, gpus }
}
