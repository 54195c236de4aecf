/** Lives of endpoints that a leader can tell apart within its term; beyond, they share the highest number. */
const LIVES_PER_TERM = 2 ** 20

/**
 * The token of an order. A later term is higher than all of an earlier one, and within a term a later
 * life of a machine than those before it.
 *
 * @param life - number of the life, as the leader counts them
 * @internal
 */
export function makeFencingToken(term: number, life: number): number {
  return term * LIVES_PER_TERM + Math.min(life, LIVES_PER_TERM - 1)
}

/** The term in which an order was given. @internal */
export function termOfToken(token: number): number {
  return Math.floor(token / LIVES_PER_TERM)
}
