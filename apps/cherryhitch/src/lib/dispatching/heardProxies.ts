import type { ProxyInstance } from '@cherryhitch/dispatch'
import type { VoterStatus } from '@cherryhitch/protocol'

/**
 * A proxy is out of reach when its voter was silent for so much longer than another one, in
 * milliseconds: four heartbeats of the log.
 */
const SILENT_MS = 250

/**
 * Those that answer the log's leader, and in its term. Announcements are too seldom to tell: what is
 * ordered through a proxy behind a cut stays in doubt until its timeout.
 *
 * They are compared with each other, since a leader that stood still has heard nobody for a while; to
 * call all endpoints itself would make it worse.
 *
 * @param members - as the leader of the log sees them
 * @internal
 */
export function heardProxies(
  proxies: readonly ProxyInstance[],
  members: readonly VoterStatus[],
): readonly ProxyInstance[] {
  const silences = proxies.map(({ instance }) => silenceOf(instance, members))
  const limitMs = Math.min(...silences) + SILENT_MS
  return proxies.filter(
    (_, index) => (silences[index] ?? Infinity) <= limitMs && limitMs < Infinity,
  )
}

/** How long an instance was silent, in milliseconds; Infinity before it answers in this term. */
function silenceOf(instance: string, members: readonly VoterStatus[]): number {
  const answering = members.filter((member) => {
    return member.instance === instance && member.matchIndex >= 0
  })
  return Math.min(Infinity, ...answering.map(({ silentMs }) => silentMs))
}
