/**
 * Actors around pure state machines, mailboxes, timers, the clock, and the event scheduler of
 * simulated runs.
 *
 * @packageDocumentation
 */
export { EventScheduler, defaultEventSchedulerOptions, TieOrder } from './lib/EventScheduler'
export type { EventSchedulerOptions } from './lib/EventScheduler'
export { BatchPacer } from './lib/BatchPacer'
export { StateMachine } from './lib/StateMachine'
export { startMailbox } from './lib/startMailbox'
export type { Mailbox, MailboxOptions } from './lib/startMailbox'
export { startActor } from './lib/startActor'
export type { Actor, ActorOptions } from './lib/startActor'
export { startVariableTimer } from './lib/startVariableTimer'
export { startTimer } from './lib/startTimer'
export { launchedAt, systemClock } from './lib/Clock'
export type { Clock } from './lib/Clock'
