/**
 * Mailboxes around pure state machines, timers and the clock.
 *
 * @packageDocumentation
 */
export { Machine } from './lib/Machine'
export { startMailbox } from './lib/startMailbox'
export type { Mailbox, MailboxOptions } from './lib/startMailbox'
export { startPart } from './lib/startPart'
export type { Part, PartOptions } from './lib/startPart'
export { startTimer } from './lib/startTimer'
export { systemClock } from './lib/Clock'
export type { Clock } from './lib/Clock'
