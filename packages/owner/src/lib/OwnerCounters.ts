/** Totals since the start of the process. @public */
export interface OwnerCounters {
  placed: number
  /** Placements ignored because the task is known or remembered here. */
  duplicatePlacements: number
  /** Placements ignored because the task was fenced or its job was cancelled. */
  fencedPlacements: number
  /** Placements ignored as addressed to another boot here, which may have started the tasks. */
  misdirectedPlacements: number
  dispatched: number
  /** Requests for the answer of a task that was dispatched earlier. */
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
  /** Answers that concern no pending task, request or endpoint. */
  lateAnswers: number
  /** Heartbeats of an earlier boot of the endpoint. */
  staleHeartbeats: number
  forwardedHeartbeats: number
  /** Heartbeats without a known owner, forwarded to the wrong one, or repeated too soon. */
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
