const INCREMENT = 0x6d2b79f5
const RANGE = 2 ** 32

/**
 * Numbers from 0 up to 1, the same ones for the same seed (mulberry32). For runs that have to
 * repeat, and for spreading things in time; it can be guessed.
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
