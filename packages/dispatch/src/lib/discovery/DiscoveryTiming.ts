/** Times of discovery, in milliseconds. @public */
export interface DiscoveryTiming {
  /** Between two announcements to all hosts of voters while no leader is known. */
  readonly announceMs: number
  /** The same between hosts of voters while there is a leader. */
  readonly announceToHostsMs: number
  /** The same of an instance that hosts no voter. */
  readonly announceByFollowersMs: number
  /** The leader says that it is there to each that it told nothing for so long. */
  readonly leaderTellsMs: number
  /** An instance that announces itself is answered at least this often, if nothing has changed. */
  readonly answerMs: number
  /** An instance that was silent for longer is no peer any more. */
  readonly forgetMs: number
  /** A leader that was silent for longer is taken for lost. */
  readonly leaderSilentMs: number
  /**
   * A host of voters that neither announced itself nor answered for longer is no help now. Two
   * announcements fit in, so that one may be lost.
   */
  readonly helperSilentMs: number
  /**
   * Hosts of voters that are there have answered a search for the next leader by then. With no
   * majority of them in reach nobody that is elected can be found.
   */
  readonly searchMs: number
}

/**
 * Only the leader has to be watched closely, and only by those that don't follow it by a voter of
 * their own: it tells them by itself, three times within the time after which it counts as lost,
 * and not while its answers to jobs tell the same. If each entry asked each host instead, messages
 * would grow with both. An election takes as long as a leader may be silent, so that callers are sent
 * on about when the next one leads.
 *
 * @public
 */
export const defaultDiscoveryTiming: DiscoveryTiming = {
  announceMs: 100,
  announceToHostsMs: 500,
  announceByFollowersMs: 1_000,
  leaderTellsMs: 140,
  answerMs: 4_000,
  forgetMs: 15_000,
  leaderSilentMs: 450,
  helperSilentMs: 1_200,
  searchMs: 200,
}
