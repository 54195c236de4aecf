/** Weight of a caller that the settings give none. */
const DEFAULT_WEIGHT = 1

/**
 * Weight of a caller over the mean weight of the callers that have work in flight, itself
 * included: 1 when all weigh the same.
 *
 * @internal
 */
export function relativeWeight(
  caller: string,
  activeCallers: Iterable<string>,
  weights: ReadonlyMap<string, number>,
): number {
  const active = new Set(activeCallers).add(caller)
  const weightOf = (name: string): number => weights.get(name) ?? DEFAULT_WEIGHT
  const total = [...active].reduce((sum, name) => sum + weightOf(name), 0)
  return (weightOf(caller) * active.size) / total
}
