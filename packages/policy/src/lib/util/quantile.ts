/** The value below which the given share of the values lies; undefined without values. @internal */
export function quantile(values: readonly number[], share: number): number | undefined {
  const sorted = [...values].sort((a, b) => a - b)
  return sorted[Math.min(sorted.length - 1, Math.floor(share * sorted.length))]
}
