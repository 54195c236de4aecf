import { isValidName } from '@cherryhitch/model'
import type { AccessToken } from './Authenticator'
import type { Authenticator } from './Authenticator'
import { AccessRole } from './Authenticator'
import { BearerAuthenticator } from './BearerAuthenticator'
import { HeaderAuthenticator } from './HeaderAuthenticator'
import { OpenAuthenticator } from './OpenAuthenticator'
import { isOperatorName } from './isOperatorName'

/** Names the caller when no caller tokens are set. @public */
export const CALLER_HEADER = 'Cherryhitch-Caller'
/** Names the operator when no operator tokens are set. @public */
export const OPERATOR_HEADER = 'Cherryhitch-Operator'

/**
 * Tokens where the settings have some for the role; else the header, and for endpoints
 * nothing, because a heartbeat names its endpoint itself. Without tokens operators may read
 * without a name; changes ask for it, as the record keeps it.
 *
 * @public
 */
export function createAuthenticator(
  role: AccessRole,
  tokens: readonly AccessToken[],
): Authenticator {
  const hasTokens = tokens.some((token) => token.role === role)
  if (hasTokens) return new BearerAuthenticator(tokens, role)
  switch (role) {
    case AccessRole.Caller:
      return new HeaderAuthenticator({
        header: CALLER_HEADER,
        isValid: isValidName,
        optional: false,
      })
    case AccessRole.Operator:
      return new HeaderAuthenticator({
        header: OPERATOR_HEADER,
        isValid: isOperatorName,
        optional: true,
      })
    case AccessRole.Endpoint:
      return new OpenAuthenticator()
  }
}
