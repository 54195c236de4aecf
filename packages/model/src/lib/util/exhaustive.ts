/**
 * For the default case of a switch over a union, so that a missing case is a compile error.
 *
 * @throws Error for a value outside the union at run time.
 * @public
 */
export function exhaustive(value: never): never {
  throw new Error(`unexpected value ${JSON.stringify(value)}`)
}
