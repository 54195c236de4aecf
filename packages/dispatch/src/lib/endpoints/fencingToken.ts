/**
 * Incarnations that a leader can distinguish in a term; any further ones share the highest number.
 */
const INCARNATIONS_PER_TERM = 2 ** 20

/**
 * Returns the fencing token of an order. Tokens of a later term are higher than all tokens of
 * earlier terms; within a term, a later incarnation of a machine has a higher token than the
 * earlier ones.
 *
 * @param incarnation - number of the incarnation, as counted by the leader
 * @internal
 */
export function makeFencingToken(term: number, incarnation: number): number {
  return term * INCARNATIONS_PER_TERM + Math.min(incarnation, INCARNATIONS_PER_TERM - 1)
}

/** Returns the term in which an order was issued. @internal */
export function termOfToken(token: number): number {
  return Math.floor(token / INCARNATIONS_PER_TERM)
}
