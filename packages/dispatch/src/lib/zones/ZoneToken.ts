import { MAX_GRANT } from '../endpoints/fencingToken'

/** The term and grant under which an instance gives orders to endpoints. @internal */
export interface ZoneToken {
  readonly term: number
  readonly grant: number
}

/** Grants of one round: one of the leader, and one of each dispatching instance of a zone. */
const GRANTS_PER_ROUND = 4
/** Number of dispatching instances of a zone that can serve it alone. @internal */
export const MAX_ZONE_RANKS = GRANTS_PER_ROUND - 1

/** @internal */
export function isHigher(one: ZoneToken, other: ZoneToken): boolean {
  return one.term === other.term ? one.grant > other.grant : one.term > other.term
}

/**
 * Returns the lowest grant of a zone's dispatching instance above the given one, or undefined if
 * the term has none left.
 *
 * @param rank - number of the instance in its zone; two instances never have the same grant
 * @internal
 */
export function nextZoneGrant(above: number, rank: number): number | undefined {
  if (rank >= MAX_ZONE_RANKS) return undefined
  const rounds = Math.max(0, Math.floor((above - rank - 1) / GRANTS_PER_ROUND) + 1)
  const grant = rounds * GRANTS_PER_ROUND + 1 + rank
  // The leader needs one above it.
  return grant + GRANTS_PER_ROUND > MAX_GRANT ? undefined : grant
}

/** Whether a grant is a leader's, not that of a zone's dispatching instance. @internal */
export function isLeaderGrant(grant: number): boolean {
  return grant % GRANTS_PER_ROUND === 0
}

/** Returns the lowest grant of a leader above the given one. @internal */
export function nextLeaderGrant(above: number): number {
  const grant = (Math.floor(above / GRANTS_PER_ROUND) + 1) * GRANTS_PER_ROUND
  return Math.min(grant, MAX_GRANT)
}
