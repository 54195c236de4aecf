import type { ProxyInstance } from '@cherryhitch/dispatch'
import type { VoterStatus } from '@cherryhitch/protocol'

/**
 * A proxy counts as unreachable when its voter has been silent for this much longer than the least
 * silent one: four heartbeat intervals of the control log.
 */
const MAX_EXTRA_SILENCE_MS = 250

/**
 * Selects the proxies whose voters answer the leader of the control log in its current term.
 * Announcements are too infrequent for this: orders sent through a partitioned proxy stay
 * unresolved until they time out.
 *
 * Silences are compared with each other instead of with the clock, because a leader that was paused
 * has heard from nobody for a while; calling all endpoints itself would then slow it down further.
 *
 * @param members - the voters as the leader of the control log sees them
 * @internal
 */
export function reachableProxies(
  proxies: readonly ProxyInstance[],
  members: readonly VoterStatus[],
): readonly ProxyInstance[] {
  const silences = proxies.map(({ instance }) => silenceOf(instance, members))
  const limitMs = Math.min(...silences) + MAX_EXTRA_SILENCE_MS
  return proxies.filter(
    (_, index) => (silences[index] ?? Infinity) <= limitMs && limitMs < Infinity,
  )
}

/** Silence of an instance in milliseconds; Infinity until it has answered in this term. */
function silenceOf(instance: string, members: readonly VoterStatus[]): number {
  const answering = members.filter((member) => {
    return member.instance === instance && member.matchIndex >= 0
  })
  return Math.min(Infinity, ...answering.map(({ silentMs }) => silentMs))
}
