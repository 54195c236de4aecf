/**
 * The daemon and its command-line client, as a library for benchmarks and tests.
 *
 * @packageDocumentation
 */
export type { ClusterInstance, ClusterOptions } from './lib/cluster/ClusterOptions'
export { startCluster } from './lib/cluster/startCluster'
export { runDispatch } from './lib/dispatching/runDispatch'
export { DrainEnd, Instance } from './lib/instance/Instance'
export type { InstancePorts } from './lib/instance/Instance'
export { defaultInstanceTiming } from './lib/instance/InstanceOptions'
export type { InstanceOptions, InstanceTiming } from './lib/instance/InstanceOptions'
export { InstanceTelemetry, LogOnlyTelemetry } from './lib/instance/InstanceTelemetry'
export { InstancePhase } from './lib/instance/Readiness'
export { startInstance } from './lib/instance/startInstance'
