/**
 * Queues and dispatch for the endpoints that this instance owns.
 *
 * @packageDocumentation
 */
export { OwnerActionKind } from './lib/OwnerAction'
export type { OwnerAction, RunTaskAction } from './lib/OwnerAction'
export { OwnerEventKind } from './lib/OwnerEvent'
export type { OwnerEvent, OwnerMessage } from './lib/OwnerEvent'
export { RunResultKind, StopState } from './lib/endpointResults'
export type { RunResult, StopResult } from './lib/endpointResults'
