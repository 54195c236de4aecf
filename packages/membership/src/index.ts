/**
 * Membership: failure detection among instances, and the capacity that each of them offers.
 *
 * @packageDocumentation
 */
export { MembershipActionKind } from './lib/MembershipAction'
export type { MembershipAction } from './lib/MembershipAction'
export { MembershipEventKind } from './lib/MembershipEvent'
export type { MembershipEvent } from './lib/MembershipEvent'
export { MembershipMachine } from './lib/MembershipMachine'
export type { MembershipCounters } from './lib/MembershipMachine'
export { defaultMembershipTiming } from './lib/MembershipOptions'
export type { KnownInstance, MembershipOptions, MembershipTiming } from './lib/MembershipOptions'
