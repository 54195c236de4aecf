import type { DispatchCore } from '../DispatchCore'

/**
 * True once nothing can still run that an earlier leader started and this one doesn't know of:
 * every known endpoint has told what runs there, or all earlier leases have run out.
 *
 * @internal
 */
export function isSettled(now: number, core: DispatchCore): boolean {
  const { term, earlierLeadersUntil, hasDirectory, timing, endpoints } = core
  if (term === undefined) return false
  const leaseMs = timing.leaderLeaseMs * (1 + timing.clockDrift)
  if (now >= earlierLeadersUntil + leaseMs) return true
  if (!hasDirectory) return false
  for (const endpoint of endpoints.all()) {
    if (!endpoint.isAdopted && !endpoint.isOver(now)) return false
  }
  return true
}
