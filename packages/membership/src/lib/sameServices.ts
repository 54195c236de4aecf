import type { ServiceSummary } from '@cherryhitch/protocol'

/** Whether two offers are equal in all values that coordinators use. @internal */
export function sameServices(
  left: readonly ServiceSummary[],
  right: readonly ServiceSummary[],
): boolean {
  if (left.length !== right.length) return false
  return left.every((summary, i) => sameSummary(summary, right[i]))
}

function sameSummary(left: ServiceSummary, right: ServiceSummary | undefined): boolean {
  return (
    left.service === right?.service &&
    left.endpoints === right.endpoints &&
    left.slots === right.slots &&
    left.freeSlots === right.freeSlots &&
    left.queuedTasks === right.queuedTasks &&
    left.waitMs === right.waitMs &&
    left.meanRunMs === right.meanRunMs
  )
}
