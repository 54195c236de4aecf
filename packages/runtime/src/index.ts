/**
 * Actors around pure state machines, mailboxes, timers, the clock, and the event scheduler of
 * simulated runs.
 *
 * @packageDocumentation
 */
export { Agenda, defaultAgendaOptions, TieOrder } from './lib/Agenda'
export type { AgendaOptions } from './lib/Agenda'
export { GatherPace } from './lib/GatherPace'
export { Machine } from './lib/Machine'
export { startMailbox } from './lib/startMailbox'
export type { Mailbox, MailboxOptions } from './lib/startMailbox'
export { startPart } from './lib/startPart'
export type { Part, PartOptions } from './lib/startPart'
export { startPacedTimer } from './lib/startPacedTimer'
export { startTimer } from './lib/startTimer'
export { systemClock } from './lib/Clock'
export type { Clock } from './lib/Clock'
