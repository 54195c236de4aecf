/** One party to a division. @public */
export interface ShareClaim {
  /** Relative weight; greater than 0. */
  readonly weight: number
  /** The most that it can use. */
  readonly demand: number
}

/**
 * Divides a capacity by weighted max-min fairness: a party gets its demand if that is no more than
 * its weighted share, and what it leaves is divided among the others by their weights.
 *
 * @returns the amount for each claim, in their order
 * @public
 */
export function maxMinShares(capacity: number, claims: readonly ShareClaim[]): readonly number[] {
  const amounts = claims.map(() => 0)
  // The claim with the least demand for its weight is satisfied first.
  const order = claims.map((claim, index) => ({ ...claim, index }))
  order.sort((a, b) => a.demand / a.weight - b.demand / b.weight)
  let left = Math.max(0, capacity)
  let weightLeft = claims.reduce((sum, { weight }) => sum + weight, 0)
  for (const { weight, demand, index } of order) {
    const amount = Math.min(demand, (left * weight) / weightLeft)
    amounts[index] = amount
    left -= amount
    weightLeft -= weight
  }
  return amounts
}
