import { isValidName } from '@cherryhitch/model'
import type { AccessToken } from './Authenticator'
import type { Authenticator } from './Authenticator'
import { AccessRole } from './Authenticator'
import { BearerAuthenticator } from './BearerAuthenticator'
import { HeaderAuthenticator } from './HeaderAuthenticator'
import { OpenAuthenticator } from './OpenAuthenticator'
import { isOperatorName } from './isOperatorName'

/** Header that names the caller if no caller tokens are configured. @public */
export const CALLER_HEADER = 'Cherryhitch-Caller'
/** Header that names the operator if no operator tokens are configured. @public */
export const OPERATOR_HEADER = 'Cherryhitch-Operator'

/**
 * Authenticates by token if any are configured for the role, else by header. Endpoints need
 * neither without tokens, because a heartbeat names its endpoint. Without tokens operators may
 * read anonymously, but changes require a name for the audit record.
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
