/**
 * Decisions as pure functions and small state holders.
 *
 * @packageDocumentation
 */
export { ownershipShard, pickOwner } from './lib/ownership/pickOwner'
export type { OwnershipSubject } from './lib/ownership/pickOwner'
