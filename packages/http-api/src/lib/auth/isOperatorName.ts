const MAX_OPERATOR_LENGTH = 128
const visiblePattern = /^[\x21-\x7e]+$/

/**
 * Tells whether a text may name an operator in the audit record, such as an e-mail address:
 * 1 to 128 visible ASCII characters.
 *
 * @public
 */
export function isOperatorName(text: string): boolean {
  return text.length <= MAX_OPERATOR_LENGTH && visiblePattern.test(text)
}
