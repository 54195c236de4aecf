import type { ProxyInstance } from '@cherryhitch/dispatch'
import type { VoterStatus } from '@cherryhitch/protocol'

/** A proxy whose voter was silent for four heartbeats of the log is out of reach, in milliseconds. */
const SILENT_MS = 250

/**
 * Those that have answered the log's leader lately, and in its term. Announcements are too seldom to
 * tell: what is ordered through a proxy behind a cut stays in doubt until its timeout.
 *
 * @param members - as the leader of the log sees them
 * @internal
 */
export function heardProxies(
  proxies: readonly ProxyInstance[],
  members: readonly VoterStatus[],
): readonly ProxyInstance[] {
  return proxies.filter(({ instance }) => {
    return members.some((member) => {
      const isHeard = member.matchIndex >= 0 && member.silentMs <= SILENT_MS
      return member.instance === instance && isHeard
    })
  })
}
