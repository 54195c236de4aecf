/**
 * Queues and dispatch for the endpoints that this instance owns.
 *
 * @packageDocumentation
 */
export { defaultEndpointClientOptions, EndpointClient } from './lib/client/EndpointClient'
export type { EndpointClientCounters, EndpointClientOptions } from './lib/client/EndpointClient'
export { EndpointReach } from './lib/endpoints/EndpointRecord'
export { RunResultKind, StopState } from './lib/endpointResults'
export type { RunResult, StopResult } from './lib/endpointResults'
export { OwnerActionKind } from './lib/OwnerAction'
export type { OwnerAction, RunTaskAction } from './lib/OwnerAction'
export type { OwnerCounters } from './lib/OwnerCounters'
export { OwnerEventKind } from './lib/OwnerEvent'
export type { OwnerEvent, OwnerMessage } from './lib/OwnerEvent'
export { OwnerMachine } from './lib/OwnerMachine'
export { defaultOwnerLimits, defaultOwnerTiming } from './lib/OwnerOptions'
export type { OwnerLimits, OwnerMachineOptions, OwnerTiming } from './lib/OwnerOptions'
export { startOwner } from './lib/startOwner'
export type { OwnerActor, OwnerPartOptions } from './lib/startOwner'
export type { EndpointView } from './lib/views/EndpointView'
