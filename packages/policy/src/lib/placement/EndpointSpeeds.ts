/** One task that ran to its end. @public */
export interface RunObservation {
  readonly endpoint: string
  readonly service: string
  readonly estimateMs: number
  readonly runMs: number
}

/** What is known of the speed of one endpoint, in a form that another instance can take over. @public */
export interface EndpointSpeedSample {
  readonly endpoint: string
  readonly service: string
  /** Weight of the runs behind it, as a number of recent runs. */
  readonly runs: number
  /** Mean of the logarithms of run times divided by their estimates. */
  readonly logRatio: number
}

/** Measures how fast endpoints are compared with their peers of the same service. @public */
export abstract class EndpointSpeeds {
  abstract observe(now: number, observation: RunObservation): void
  /** Ratio of run times here to those of the same work at peers; 1 without observations. */
  abstract slowness(now: number, endpoint: string): number
  abstract remove(endpoint: string): void
  /** Everything that is known, for another instance. */
  abstract snapshot(now: number): readonly EndpointSpeedSample[]
  /** Takes over what another instance knows, unless more runs were observed here. */
  abstract merge(now: number, samples: readonly EndpointSpeedSample[]): void
}
