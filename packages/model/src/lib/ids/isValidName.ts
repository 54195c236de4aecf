/** Longest name of an instance, zone, service, endpoint or caller, in characters. @public */
export const MAX_NAME_LENGTH = 64

const namePattern = /^[a-z0-9](?:[a-z0-9_-]*[a-z0-9])?$/i

/**
 * Tells whether a text may name an instance, zone, rack, service, endpoint or caller.
 * Dots are left out because job ids use them as separators.
 *
 * @public
 */
export function isValidName(text: string): boolean {
  return text.length <= MAX_NAME_LENGTH && namePattern.test(text)
}
