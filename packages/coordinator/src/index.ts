/**
 * Accepts jobs, places their tasks with owners and combines the results into one answer per job.
 *
 * @packageDocumentation
 */
export { CoordinatorActionKind } from './lib/CoordinatorAction'
export type { CoordinatorAction } from './lib/CoordinatorAction'
export { CoordinatorEventKind } from './lib/CoordinatorEvent'
export type { CoordinatorEvent, CoordinatorMessage } from './lib/CoordinatorEvent'
export type { CoordinatorCounters } from './lib/CoordinatorCounters'
export { CoordinatorMachine } from './lib/CoordinatorMachine'
export { defaultCoordinatorLimits, defaultCoordinatorTiming } from './lib/CoordinatorOptions'
export type {
  CoordinatorLimits,
  CoordinatorOptions,
  CoordinatorTiming,
} from './lib/CoordinatorOptions'
export { startCoordinator } from './lib/startCoordinator'
export type { CoordinatorActor, JobQuestion, StartCoordinatorOptions } from './lib/startCoordinator'
