/** Totals since the start of the process. @public */
export interface OwnerCounters {
  placed: number
  /** Placed again while known here or remembered: ignored. */
  duplicatePlacements: number
  /** Placed after they were fenced or their job was cancelled: ignored. */
  fencedPlacements: number
  /** Placed with an earlier process of this instance, which may have started them: ignored. */
  misdirectedPlacements: number
  dispatched: number
  /** Requests that fetch the answer of a task that was dispatched before. */
  joined: number
  succeeded: number
  failed: number
  notRun: number
  unknown: number
  retried: number
  cancelledQueued: number
  cancelledRunning: number
  expiredQueued: number
  expiredRunning: number
  leasesRunOut: number
  /** Answers for a task, request or endpoint that nothing is awaited of. */
  lateAnswers: number
  /** Heartbeats of an earlier boot. */
  staleHeartbeats: number
  forwardedHeartbeats: number
  /** Heartbeats of endpoints without a known owner, or forwarded to the wrong one. */
  droppedHeartbeats: number
  stopMessages: number
  renewMessages: number
  probes: number
  endpointRestarts: number
  endpointsHandedOver: number
  endpointsTakenOver: number
  tasksPassedOn: number
  coordinatorsLost: number
}

/** All totals at zero. @internal */
export function newOwnerCounters(): OwnerCounters {
  return {
    placed: 0,
    duplicatePlacements: 0,
    fencedPlacements: 0,
    misdirectedPlacements: 0,
    dispatched: 0,
    joined: 0,
    succeeded: 0,
    failed: 0,
    notRun: 0,
    unknown: 0,
    retried: 0,
    cancelledQueued: 0,
    cancelledRunning: 0,
    expiredQueued: 0,
    expiredRunning: 0,
    leasesRunOut: 0,
    lateAnswers: 0,
    staleHeartbeats: 0,
    forwardedHeartbeats: 0,
    droppedHeartbeats: 0,
    stopMessages: 0,
    renewMessages: 0,
    probes: 0,
    endpointRestarts: 0,
    endpointsHandedOver: 0,
    endpointsTakenOver: 0,
    tasksPassedOn: 0,
    coordinatorsLost: 0,
  }
}
