/**
 * Fibers with a mailbox around pure state machines, and the clock.
 *
 * @packageDocumentation
 */
export { Machine } from './lib/Machine'
export { startPart } from './lib/startPart'
export type { Part, PartOptions } from './lib/startPart'
export { startTimer } from './lib/startTimer'
export { systemClock } from './lib/Clock'
export type { Clock } from './lib/Clock'
