/** State of one model of logarithms. @public */
export interface ModelSample {
  /** Weight of the model, as a number of observations. */
  readonly count: number
  /** Mean of the logarithms. */
  readonly center: number
  readonly variance: number
}

/** What is known of the run times of one caller's tasks, in a form that an instance can take over. @public */
export interface RunTimeSample {
  /** Undefined for the model of all callers of the service. */
  readonly caller: string | undefined
  readonly service: string
  /** Time since the last observation, in milliseconds. */
  readonly ageMs: number
  /** Model of the run time. */
  readonly absolute: ModelSample
  /** Model of the ratio of the run time to the declared one. */
  readonly ratio: ModelSample
  /** Mean errors of the predictions by the two models, and the weight of these means. */
  readonly absoluteError: number
  readonly ratioError: number
  readonly comparisons: number
}
