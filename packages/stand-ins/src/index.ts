/**
 * Endpoints, callers and faulty links that this repository writes, for tests and measurements.
 *
 * @packageDocumentation
 */
export { StandInEndpoint, startStandInEndpoint } from './lib/endpoint/StandInEndpoint'
export { defaultStandInEndpointOptions } from './lib/endpoint/StandInEndpointOptions'
export type {
  StandInEndpointDefaults,
  StandInEndpointInput,
  StandInEndpointOptions,
} from './lib/endpoint/StandInEndpointOptions'
export {
  FailEveryBehaviour,
  FailSomeBehaviour,
  FailureSpeed,
  FlappingBehaviour,
  NormalBehaviour,
  SlowBehaviour,
  StraggleSomeBehaviour,
  TaskBehaviour,
} from './lib/endpoint/TaskBehaviour'
export type { TaskPlan } from './lib/endpoint/TaskBehaviour'
export { EndpointLedger, OveruseKind, RunEnd } from './lib/ledger/EndpointLedger'
export type { EndpointLedgerData, Overuse, TaskRun, TaskTrace } from './lib/ledger/EndpointLedger'
export { MessageKind, Waste } from './lib/ledger/messageCounts'
export type { MessageCount } from './lib/ledger/messageCounts'
export { SeededRandom } from './lib/util/SeededRandom'
export type { Weighted } from './lib/util/SeededRandom'
export { ListenError } from './lib/util/ListenError'
export {
  CutKind,
  FaultyLink,
  LinkDirection,
  LinkScope,
  defaultFaultyLinkOptions,
  startFaultyLink,
} from './lib/link/FaultyLink'
export type { FaultyLinkOptions } from './lib/link/FaultyLink'
export { Balancer, defaultBalancerOptions, startBalancer } from './lib/caller/Balancer'
export type { BalancerOptions } from './lib/caller/Balancer'
export { CallerPool, callerPool } from './lib/caller/CallerPool'
export type { CallerPoolInput } from './lib/caller/CallerPool'
export type { JobRequest, TaskRequest } from './lib/caller/JobRequest'
export {
  NeverResubmit,
  PatientResubmit,
  ResubmitRule,
  defaultPatientResubmitOptions,
} from './lib/caller/ResubmitRule'
export type { PatientResubmitOptions } from './lib/caller/ResubmitRule'
export { StandInCaller, SubmitStyle, defaultStandInCallerOptions } from './lib/caller/StandInCaller'
export type { StandInCallerOptions } from './lib/caller/StandInCaller'
export { CallerLedger, CallerOutcome } from './lib/ledger/CallerLedger'
export type { CallerAttempt, OutputSeen, Submission } from './lib/ledger/CallerLedger'
export { Invariant, checkLedgers } from './lib/ledger/checkLedgers'
export type { InvariantReport, Violation } from './lib/ledger/checkLedgers'
export { ArrivalOrder, IdealOrder, LeastWorkOrder } from './lib/ideal/IdealOrder'
export type { WaitingJob } from './lib/ideal/IdealOrder'
export { defaultIdealOptions, idealSchedule, longestPath } from './lib/ideal/idealSchedule'
export type { IdealJob, IdealOptions, IdealTimes } from './lib/ideal/idealSchedule'
export { WorkloadGenerator } from './lib/workload/WorkloadGenerator'
export { defaultWorkloadOptions } from './lib/workload/WorkloadOptions'
export type {
  BurstOptions,
  CallerShare,
  CancelWaveOptions,
  RangeShare,
  ServiceShare,
  WorkloadOptions,
} from './lib/workload/WorkloadOptions'
export {
  deployments,
  networkFloorMs,
  placeEndpoints,
  placeInstances,
  totalSlots,
} from './lib/deployment/Deployment'
export type { Deployment, PlacedEndpoint, PlacedInstance } from './lib/deployment/Deployment'
export { LinkMesh, PartitionKind, defaultLinkMeshOptions, startLinkMesh } from './lib/link/LinkMesh'
export type { LinkMeshOptions, MeshSource, MeshTarget } from './lib/link/LinkMesh'
export { compareToIdeal } from './lib/ideal/compareToIdeal'
export type { ResponseComparison } from './lib/ideal/compareToIdeal'
