import type { ZoneToken } from './ZoneToken'

/** What a dispatching instance does for its zone. @internal */
export enum ZonePhase {
  /** It serves nobody alone, and no job that it took is left. */
  Idle = 'idle',
  /** It asks the entries of its zone to join. */
  Forming = 'forming',
  /** It takes the jobs of its zone. */
  Serving = 'serving',
  /** It takes no more jobs, and finishes those that it has. */
  Ending = 'ending',
}

/** A job that a holder may have, and for how long. @internal */
export interface SubmittedJob {
  readonly jobId: string
  /** Time after which no holder that was sent it has any run of it, in milliseconds. */
  readonly overInMs: number
}

/** Sent by a dispatching instance to each entry of its zone, at short intervals. @internal */
export interface ZoneOffer {
  readonly holder: string
  readonly token: ZoneToken
  readonly phase: ZonePhase
  /** By the sender's clock. */
  readonly sentAt: number
  /** Entries whose list of jobs has arrived. */
  readonly heard: readonly string[]
  /** Whether it has taken jobs under this token, for which all entries had to join. */
  readonly hasServed: boolean
  /** Whether no earlier process of it may have taken jobs that it doesn't know and aren't over. */
  readonly isCertain: boolean
  /** While ending: the jobs that it took or heard of, and that aren't over. */
  readonly open: readonly SubmittedJob[]
}

/** Answer of an entry to an offer. @internal */
export interface ZoneJoin {
  readonly entry: string
  /** The highest token that it has joined. */
  readonly token: ZoneToken
  /** Whether it has joined the offer that this answers. */
  readonly isJoined: boolean
  /** Whether it keeps to a leader, and so doesn't join. */
  readonly hasLeader: boolean
  /** `sentAt` of that offer. */
  readonly offerSentAt: number
  /** Time until all jobs are over that an earlier process of it may have sent, in milliseconds. */
  readonly uncertainForMs: number
  /** The jobs that it sent to any other holder and that aren't over; sent until it is heard. */
  readonly submitted: readonly SubmittedJob[] | undefined
}
