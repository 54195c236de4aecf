/**
 * Takes jobs, places their tasks with owners and gathers whole answers.
 *
 * @packageDocumentation
 */
export { CoordinatorActionKind } from './lib/CoordinatorAction'
export type { CoordinatorAction } from './lib/CoordinatorAction'
export { CoordinatorEventKind } from './lib/CoordinatorEvent'
export type { CoordinatorEvent, CoordinatorMessage } from './lib/CoordinatorEvent'
