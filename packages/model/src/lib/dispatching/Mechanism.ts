/** Optional mechanisms of the dispatcher; each can be disabled. @public */
export enum Mechanism {
  /** Refuses a job on arrival if it would not get capacity in time. */
  Admission = 'admission',
  /** Serves the job with the earliest latest start first; without it, jobs are served FIFO. */
  QueuePolicy = 'order',
  /** Serves jobs that are in progress before others. */
  InProgressFirst = 'under_way_first',
  /** Polls endpoints for runs that are overdue. */
  OverduePolls = 'looks',
  /** Resends orders to start a task that got no answer. */
  StartRetries = 'repeated_starts',
  /** Derives timeouts from measured round-trip times. */
  AdaptiveTimeouts = 'round_trips',
  /** Estimates run times from earlier runs. */
  LearnedEstimates = 'learned_estimates',
  /** Takes into account how slow an endpoint is compared to its peers. */
  Slowness = 'slowness',
  /** Ejects failing endpoints and probes them with single tasks. */
  Health = 'health',
  /** Prefers other endpoints for a task that failed or was lost at one. */
  Avoidance = 'avoidance',
  /** Reserves a margin before the latest start of a job. */
  StartMargin = 'start_margin',
  /** Stops runs that take far longer than estimated. */
  Overrun = 'overrun',
  /** Prefers endpoints with little free capacity, which reduces fragmentation (best fit). */
  BestFit = 'close_fit',
  /** Refuses new jobs while the leader itself is overloaded. */
  IntakeLimit = 'intake_limit',
  /** Starts new jobs before the runs started by earlier leaders are known. */
  StartBeforeRecovery = 'early_new_jobs',
  /** Gives up tasks that crash the endpoints that start them. */
  CrashAttribution = 'crash_blame',
  /** Under contention, gives each queue and zone its share of the slots, by the queues' priorities. */
  PriorityShares = 'priority_shares',
  /** Serves a job late, in slots that no job can use in time, in place of refusing it. */
  LateService = 'late_service',
  /** Places and forecasts by the measured speeds of endpoints that differ much in speed. */
  UnevenEndpoints = 'uneven_endpoints',
  /** Passes on what the leader has learnt to the instances that may lead next. */
  LeaderKnowledge = 'leader_knowledge',
}
