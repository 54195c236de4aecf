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
