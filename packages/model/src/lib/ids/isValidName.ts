/** Maximum length of a valid name, in characters. @public */
export const MAX_NAME_LENGTH = 64

const namePattern = /^[a-z0-9](?:[a-z0-9_-]*[a-z0-9])?$/i

/**
 * Whether a text is a valid name of an instance, zone, rack, service, endpoint or caller. Dots are
 * not allowed because they are the separators of job ids.
 *
 * @public
 */
export function isValidName(text: string): boolean {
  return text.length <= MAX_NAME_LENGTH && namePattern.test(text)
}
