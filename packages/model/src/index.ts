/**
 * Ids, shared views, spans and small helpers that every other package may use.
 *
 * @packageDocumentation
 */
export { formatJobId, parseJobId } from './lib/ids/jobId'
export type { JobIdParts } from './lib/ids/jobId'
export { formatTaskId, parseTaskId } from './lib/ids/taskId'
export type { TaskIdParts } from './lib/ids/taskId'
export { isValidName, MAX_NAME_LENGTH } from './lib/ids/isValidName'
export type { InstanceView } from './lib/views/InstanceView'
export {
  deriveSpanId,
  deriveTraceparent,
  parseTraceparent,
  rootTraceparent,
} from './lib/spans/traceparent'
export type { Traceparent } from './lib/spans/traceparent'
export type { SpanRecord } from './lib/spans/SpanRecord'
export { exhaustive } from './lib/util/exhaustive'
export { groupBy } from './lib/util/groupBy'
export { hash32 } from './lib/util/hash32'
export { hash64 } from './lib/util/hash64'
export { seededRandom } from './lib/util/seededRandom'
export { splitAddress } from './lib/util/splitAddress'
export type { HostAndPort } from './lib/util/splitAddress'
export { ProblemRan } from './lib/views/Problem'
export type { Problem } from './lib/views/Problem'
export { StopAnswerState } from './lib/endpointApi/endpointApi'
export type {
  HeartbeatAnswer,
  HeartbeatBody,
  LeasesAnswer,
  LeasesBody,
  ResourcesBody,
  RunTaskAnswer,
  RunTaskBody,
  StopsAnswer,
  StopsBody,
} from './lib/endpointApi/endpointApi'
export { Err, Ok } from './lib/util/results'
export { Mechanism } from './lib/dispatching/Mechanism'
