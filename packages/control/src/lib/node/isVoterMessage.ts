import type { EnvelopeBody } from '@cherryhitch/protocol'

/**
 * True for messages that the voter handles, if there is one; the client handles all others.
 *
 * @internal
 */
export function isVoterMessage(body: EnvelopeBody): boolean {
  switch (body.case) {
    case 'proposeReply':
    case 'readControlReply':
    case 'settingsNotice':
      return false
    default:
      return true
  }
}
