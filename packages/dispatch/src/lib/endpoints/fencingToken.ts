/** Numbers for orders in one term: for incarnations, within grants. */
const TOKENS_PER_TERM = 2 ** 20
/**
 * Incarnations that a holder can distinguish in a grant; any further ones share the highest number.
 */
const INCARNATIONS_PER_GRANT = 2 ** 15
/** Highest grant of a term. @internal */
export const MAX_GRANT = TOKENS_PER_TERM / INCARNATIONS_PER_GRANT - 1

/**
 * Returns the fencing token of an order. Tokens of a later term are higher than all tokens of
 * earlier terms; within a term, those of a higher grant are higher; within a grant, a later
 * incarnation of a machine has a higher token than the earlier ones.
 *
 * @param incarnation - number of the incarnation, as counted by the leader or zone dispatcher
 * @param grant - 0 for a leader, unless a zone dispatcher has had the endpoint in its term;
 *   undefined where zones never serve alone, so that all numbers of a term are for incarnations
 * @internal
 */
export function makeFencingToken(term: number, incarnation: number, grant?: number): number {
  const numbers = grant === undefined ? TOKENS_PER_TERM : INCARNATIONS_PER_GRANT
  const granted = Math.min(grant ?? 0, MAX_GRANT) * INCARNATIONS_PER_GRANT
  return term * TOKENS_PER_TERM + granted + Math.min(incarnation, numbers - 1)
}

/** Returns the term in which an order was issued. @internal */
export function termOfToken(token: number): number {
  return Math.floor(token / TOKENS_PER_TERM)
}

/** Returns the grant under which an order was issued. @internal */
export function grantOfToken(token: number): number {
  return Math.floor((token % TOKENS_PER_TERM) / INCARNATIONS_PER_GRANT)
}
