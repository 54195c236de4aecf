/** Value below which the given share (0 to 1) of the samples lies; 0 without samples. @internal */
export function percentile(samples: readonly number[], share: number): number {
  const sorted = [...samples].sort((a, b) => a - b)
  const index = Math.min(sorted.length - 1, Math.floor(sorted.length * share))
  return sorted[index] ?? 0
}

/** Arithmetic mean; 0 without samples. @internal */
export function mean(samples: readonly number[]): number {
  if (samples.length === 0) return 0
  return samples.reduce((sum, sample) => sum + sample, 0) / samples.length
}
