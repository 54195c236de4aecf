import type { EnvelopeBody } from '@cherryhitch/protocol'

/** True for messages that a voter takes, where there is one; the client part takes the rest. @internal */
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
