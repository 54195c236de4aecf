import type { ReadControl, VotersStatus } from '@cherryhitch/protocol'
import { COMMAND_VERSION } from '../state/commandVersion'
import type { VoterCore } from './VoterCore'

/** Maximum number of audit records in a reply. */
const MAX_AUDIT_PAGE = 1_000

/**
 * Answers a read. Without `voters` the read was not confirmed by a majority, and the reply holds
 * only the newest settings that this voter knows of.
 *
 * @internal
 */
export function answerRead(
  core: VoterCore,
  to: string,
  { requestId, auditFrom, auditLimit, withRouting }: ReadControl,
  voters: VotersStatus | undefined,
): void {
  const { state, leader } = core
  const ok = voters !== undefined && state !== undefined
  const limit = Math.min(auditLimit, MAX_AUDIT_PAGE)
  const audit = ok && auditFrom >= 0 ? state.audit(auditFrom, limit) : []
  const settings = state && { settings: state.settings }
  const routing = ok && withRouting && { routing: state.routing }
  const known = { audit, leader, ...settings, ...(voters && { voters }), ...routing }
  const value = { requestId, ok, commandVersion: COMMAND_VERSION, ...known }
  core.send(to, { case: 'readControlReply', value })
}
