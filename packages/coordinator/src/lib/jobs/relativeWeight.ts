/** Weight of a caller that has none in the settings. */
const DEFAULT_WEIGHT = 1

/**
 * Ratio of a caller's weight to the mean weight of the callers with work in flight, itself
 * included; 1 if all weights are equal.
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
