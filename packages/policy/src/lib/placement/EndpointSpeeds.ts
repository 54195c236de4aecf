/** One task that ran to its end. @public */
export interface RunObservation {
  readonly endpoint: string
  readonly service: string
  readonly estimateMs: number
  readonly runMs: number
  /** Job of the task: the tasks of one job are alike, which separates speed from work. */
  readonly job?: string
  /** Number of tasks of the job; 1 by default. */
  readonly jobTasks?: number
}

/** What an endpoint announces that is related to its speed. @public */
export interface EndpointTraits {
  readonly service: string
  /** Shared by successive incarnations of an endpoint. */
  readonly machine: string
  /** Endpoints with a label in common may be of one kind. */
  readonly labels: readonly string[]
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

/** How much the endpoints of one service differ in speed. @public */
export interface SpeedSpread {
  /** Whether they differ so much that placement and forecasts take it into account. */
  readonly isUneven: boolean
  /** Ratio of run times at slow endpoints to those at fast ones; 1 while it is not known. */
  readonly slowToFast: number
}

/** The spread of a service whose endpoints are taken to be alike. @public */
export const EVEN_SPREAD: SpeedSpread = { isUneven: false, slowToFast: 1 }

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
  /** Notes what an endpoint announces; ignored by default. */
  describe(_endpoint: string, _traits: EndpointTraits): void {
    // Only speeds that are shared between endpoints depend on traits.
  }
  /** Endpoints are taken to be alike by default. */
  spread(_now: number, _service: string): SpeedSpread {
    return EVEN_SPREAD
  }
}
