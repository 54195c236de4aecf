import type { EndpointSpeedSample, ModelSample, RunTimeSample } from '@cherryhitch/policy'

/** Longest name of a route, service or endpoint in a hint, in characters. */
const MAX_NAME_LENGTH = 256
/** Upper bound of weights, as a number of runs. */
const MAX_RUNS = 1e6
/** Upper bound of logarithms and their errors: a factor of 10 million. */
const MAX_LOG = 16
/** Age from which a hint is not used any more, in milliseconds. */
export const MAX_HINT_AGE_MS = 600_000

/** Whether the values of a sample are possible, whoever sent it. @internal */
export function isPlausibleRunTime(sample: RunTimeSample): boolean {
  const { caller = '', service, ageMs, absolute, ratio } = sample
  const { absoluteError, ratioError, comparisons } = sample
  return (
    isName(caller) &&
    isName(service) &&
    isWithin(ageMs, 0, MAX_HINT_AGE_MS) &&
    absolute.count > 0 &&
    isPlausibleModel(absolute) &&
    isPlausibleModel(ratio) &&
    isWithin(absoluteError, 0, MAX_LOG) &&
    isWithin(ratioError, 0, MAX_LOG) &&
    isWithin(comparisons, 0, MAX_RUNS)
  )
}

/** Whether the values of a sample are possible, whoever sent it. @internal */
export function isPlausibleSpeed(sample: EndpointSpeedSample): boolean {
  const { endpoint, service, runs, logRatio } = sample
  return (
    endpoint !== '' &&
    isName(endpoint) &&
    isName(service) &&
    runs > 0 &&
    isWithin(runs, 0, MAX_RUNS) &&
    isWithin(logRatio, -MAX_LOG, MAX_LOG)
  )
}

function isPlausibleModel({ count, center, variance }: ModelSample): boolean {
  return (
    isWithin(count, 0, MAX_RUNS) &&
    isWithin(center, -MAX_LOG, MAX_LOG) &&
    isWithin(variance, 0, MAX_LOG)
  )
}

function isName(name: string): boolean {
  return name.length <= MAX_NAME_LENGTH
}

/** False for NaN too. */
function isWithin(value: number, min: number, max: number): boolean {
  return value >= min && value <= max
}
