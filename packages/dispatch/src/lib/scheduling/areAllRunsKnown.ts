import type { DispatchCore } from '../DispatchCore'

/**
 * Whether this leader knows of all runs that earlier leaders started and that may still be active:
 * every known endpoint has reported its runs, or all leases of earlier leaders have expired.
 *
 * @internal
 */
export function areAllRunsKnown(now: number, core: DispatchCore): boolean {
  const { term, earlierLeadersConfirmedUntil, hasDirectory, timing, endpoints } = core
  if (term === undefined) return false
  const leaseMs = timing.leaderLeaseMs * (1 + timing.clockDrift)
  if (now >= earlierLeadersConfirmedUntil + leaseMs) return true
  if (!hasDirectory) return false
  for (const endpoint of endpoints.all()) {
    if (!endpoint.isSynced && !endpoint.isQuiescent(now)) return false
  }
  return true
}
