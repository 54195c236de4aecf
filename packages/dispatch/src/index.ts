/**
 * Queues jobs, places their tasks on endpoints and follows them; brings requests to the instance
 * that does so, and finds it.
 *
 * @packageDocumentation
 */
export { DispatchActionKind, Stage } from './lib/DispatchAction'
export type { DispatchAction } from './lib/DispatchAction'
export { DispatchEventKind } from './lib/DispatchEvent'
export type { DispatchEvent } from './lib/DispatchEvent'
export type { LearntSamples } from './lib/knowledge/LearntSamples'
export type { LossUpdate } from './lib/crashes/LossUpdate'
export { DispatchMachine } from './lib/DispatchMachine'
export { defaultDispatchTiming } from './lib/DispatchOptions'
export type { DispatchOptions, DispatchTiming } from './lib/DispatchOptions'
export { DiscoveryActionKind } from './lib/discovery/DiscoveryAction'
export type { DiscoveryAction } from './lib/discovery/DiscoveryAction'
export { DiscoveryEventKind } from './lib/discovery/DiscoveryEvent'
export type { DiscoveryEvent } from './lib/discovery/DiscoveryEvent'
export { DiscoveryMachine } from './lib/discovery/DiscoveryMachine'
export type { DiscoveryOptions } from './lib/discovery/DiscoveryMachine'
export { defaultDiscoveryTiming } from './lib/discovery/DiscoveryTiming'
export type { DiscoveryTiming } from './lib/discovery/DiscoveryTiming'
export { hostOf, instanceAt } from './lib/discovery/instanceNames'
export { EndpointGateway } from './lib/gateway/EndpointGateway'
export type { OrderAnswer } from './lib/gateway/EndpointGateway'
export { decodePath } from './lib/jobs/decodePath'
export { normalizeHost } from './lib/jobs/normalizeHost'
export { noAnswer } from './lib/gateway/noAnswer'
export { OrderProxy } from './lib/orders/OrderProxy'
export type { OrderProxyOptions } from './lib/orders/OrderProxy'
export type { ProxyInstance } from './lib/orders/ProxyAssignments'
export { defaultRelayTiming, JobRelay, RelayActionKind, RelayEventKind } from './lib/relay/JobRelay'
export type { RelayAction, RelayEvent, RelayTiming } from './lib/relay/JobRelay'
export { LeaderWarmup } from './lib/warmup/LeaderWarmup'
export { startDispatcher } from './lib/startDispatcher'
export type { Dispatcher, DispatcherOptions } from './lib/startDispatcher'
export { runDispatchSoak } from './lib/soak/runDispatchSoak'
export type { DispatchSoakOptions, DispatchSoakReport } from './lib/soak/runDispatchSoak'
export { ForecastAdmission } from './lib/scheduling/ForecastAdmission'
export { JobAdmission } from './lib/scheduling/JobAdmission'
export type { AdmissionDecision, AdmissionInput, RefusedJob } from './lib/scheduling/JobAdmission'
export {
  FifoPolicy,
  defaultLeastSlackPolicyOptions,
  QueuePolicy,
  LeastSlackPolicy,
} from './lib/scheduling/QueuePolicy'
export type { LeastSlackPolicyOptions } from './lib/scheduling/QueuePolicy'
export { UnconditionalAdmission } from './lib/scheduling/UnconditionalAdmission'
export { playLoad } from './lib/soak/playLoad'
export type { LoadOptions, LoadOutcome } from './lib/soak/playLoad'
