/** Intervals and timeouts of discovery, in milliseconds. @public */
export interface DiscoveryTiming {
  /** Interval of announcements to all voter hosts while no leader is known. */
  readonly leaderlessAnnounceIntervalMs: number
  /** Interval of announcements between voter hosts while there is a leader. */
  readonly voterHostAnnounceIntervalMs: number
  /** Interval of announcements by instances without a voter while there is a leader. */
  readonly nonVoterAnnounceIntervalMs: number
  /** The leader sends a heartbeat to each instance to which it has sent nothing for this long. */
  readonly leaderHeartbeatIntervalMs: number
  /** Announcements are answered at least this often, even if the directory has not changed. */
  readonly refreshIntervalMs: number
  /** An instance that was silent for longer is removed from the peers. */
  readonly peerExpiryMs: number
  /**
   * A voter host that was silent for longer is no longer listed to others, unless it is a member of
   * the own voter's group. Two announcements fit in, so that one may be lost.
   */
  readonly directHostTimeoutMs: number
  /** A leader that was silent for longer is considered lost. */
  readonly leaderTimeoutMs: number
  /**
   * A voter host that has not announced itself, or has not answered, for longer is not used as a
   * proxy. Two announcements fit in, so that one may be lost.
   */
  readonly proxyCandidateTimeoutMs: number
  /**
   * Duration of a search for the next leader: voter hosts that are up have answered by then. A
   * newly elected leader can't be found unless a majority of them is reachable.
   */
  readonly leaderSearchMs: number
}

/**
 * Only the leader needs close monitoring, and only by instances without a voter. The leader sends
 * them heartbeats, three within the leader timeout, and none while its answers to jobs show the
 * same. If each entry polled each voter host instead, the number of messages would grow with the
 * product of both.
 *
 * The leader timeout is as long as an election, so requests are redirected about when the next
 * leader is elected.
 *
 * @public
 */
export const defaultDiscoveryTiming: DiscoveryTiming = {
  leaderlessAnnounceIntervalMs: 100,
  voterHostAnnounceIntervalMs: 500,
  nonVoterAnnounceIntervalMs: 1_000,
  leaderHeartbeatIntervalMs: 140,
  refreshIntervalMs: 4_000,
  peerExpiryMs: 15_000,
  directHostTimeoutMs: 1_200,
  leaderTimeoutMs: 450,
  proxyCandidateTimeoutMs: 1_200,
  leaderSearchMs: 200,
}
