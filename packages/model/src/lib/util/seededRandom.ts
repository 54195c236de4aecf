const INCREMENT = 0x6d2b79f5
const RANGE = 2 ** 32

/**
 * Pseudo-random numbers in [0, 1), determined by the seed (mulberry32). For reproducible runs and
 * for jitter; predictable, so unsuitable for security.
 *
 * @public
 */
export function seededRandom(seed: number): () => number {
  let state = seed >>> 0
  return () => {
    state = (state + INCREMENT) >>> 0
    let mixed = Math.imul(state ^ (state >>> 15), state | 1)
    mixed ^= mixed + Math.imul(mixed ^ (mixed >>> 7), mixed | 61)
    return ((mixed ^ (mixed >>> 14)) >>> 0) / RANGE
  }
}
