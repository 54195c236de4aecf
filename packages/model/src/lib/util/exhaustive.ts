/**
 * Closes a switch over a union: it does not compile while a case is missing.
 *
 * @throws Error when a value outside the union arrives at run time.
 * @public
 */
export function exhaustive(value: never): never {
  throw new Error(`unexpected value ${JSON.stringify(value)}`)
}
