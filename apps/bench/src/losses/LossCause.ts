/** Why a request was not served in time. */
export enum LossCause {
  /** No leader took it, or the one that had it was lost. */
  NoLeader = 'no leader',
  /** An earlier leader had it: it waited until what ran was known. */
  LeaderChange = 'change of the leader',
  /** Refused at once, as no place became free in time. */
  NoPlace = 'no place, refused at once',
  /** Refused after a wait for a place. */
  NoPlaceLate = 'no place, refused late',
  /** It waited for places and was answered late or not at all. */
  Waited = 'waited for places',
  /** A run failed, at the endpoint or by its own fault. */
  RunFailed = 'a run failed',
  /** An endpoint was lost with a run of it. */
  EndpointLost = 'an endpoint was lost',
  /** A run took far too long and was begun anew. */
  EndpointHung = 'an endpoint hung or was slow',
  /** An order to start got no answer. */
  LostOrder = 'an order got no answer',
  /** All ran at once, but longer than estimated. */
  RanLong = 'ran longer than estimated',
  /** The caller left before its objective had passed. */
  CallerLeft = 'its caller left early',
  /** It asks for what can't be run, or can't be read. */
  Unread = 'refused unread',
  Unknown = 'unknown',
}
