/** What the dispatcher does for its callers beyond the plain path; each can be left out. @public */
export enum Mechanism {
  /** Refusing at once what will get no place in time. */
  Admission = 'admission',
  /** The job that has to start first goes first; without it first come, first served. */
  Order = 'order',
  /** Jobs that are under way go before others. */
  UnderWayFirst = 'under_way_first',
  /** Asking at once for runs that are overdue. */
  Looks = 'looks',
  /** Sending an order to start again that got no answer. */
  RepeatedStarts = 'repeated_starts',
  /** Timeouts from measured round trips. */
  RoundTrips = 'round_trips',
  /** Run times learnt from ended runs. */
  LearnedEstimates = 'learned_estimates',
  /** How slow an endpoint is against its peers. */
  Slowness = 'slowness',
  /** Leaving out endpoints that fail, and trying them again with single tasks. */
  Health = 'health',
  /** Preferring other endpoints for a task that failed or was lost at one. */
  Avoidance = 'avoidance',
  /** What is kept back of a job's time before its last moment to start. */
  StartMargin = 'start_margin',
  /** Stopping runs that take far longer than estimated. */
  Overrun = 'overrun',
  /** Preferring endpoints where little room is left, so that room is kept together. */
  CloseFit = 'close_fit',
  /** Refusing new jobs while the leader itself is behind with its work. */
  IntakeLimit = 'intake_limit',
  /** Starting new jobs before what an earlier leader started is known. */
  EarlyNewJobs = 'early_new_jobs',
  /** Giving up tasks that take down the endpoints that start them. */
  CrashBlame = 'crash_blame',
}
