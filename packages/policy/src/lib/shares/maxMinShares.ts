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
  order.sort((a, b) => compare(a.demand / a.weight, b.demand / b.weight))
  // Sums from the last claim on; subtraction from the total would lose small weights.
  const weightsLeft = order.map(({ weight }) => weight)
  for (let at = order.length - 2; at >= 0; at--) {
    weightsLeft[at] = (weightsLeft[at] ?? 0) + (weightsLeft[at + 1] ?? 0)
  }
  let left = Math.max(0, capacity)
  for (const [at, { weight, demand, index }] of order.entries()) {
    const share = weight / (weightsLeft[at] ?? weight)
    const amount = Math.min(demand, left * share)
    amounts[index] = amount
    left -= amount
  }
  return amounts
}

/** Compares two numbers, also when both are Infinity. */
function compare(a: number, b: number): number {
  return a === b ? 0 : a - b
}
