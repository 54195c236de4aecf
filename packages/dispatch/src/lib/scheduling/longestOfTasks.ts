/** Typical standard deviation of the logarithms of run times within a job. */
const TASK_DEVIATION = 0.15
/**
 * The mean of the largest of n normal values is about this factor times the exponentiated binary
 * logarithm of n, in standard deviations: to within 0.02 for up to 8 values, and 0.15 for 32.
 */
const LARGEST_FACTOR = 0.56
const LARGEST_EXPONENT = 0.85

/** Number of tasks up to which the factors are computed once. */
const TABLE_SIZE = 64

const table = Float64Array.from({ length: TABLE_SIZE + 1 }, (_, tasks) => computeFactor(tasks))

/**
 * Expected run time of the longest of several tasks of a job, as a multiple of their mean.
 *
 * @internal
 */
export function longestOfTasks(tasks: number): number {
  return table[tasks] ?? computeFactor(tasks)
}

function computeFactor(tasks: number): number {
  const deviations = LARGEST_FACTOR * Math.log2(Math.max(1, tasks)) ** LARGEST_EXPONENT
  return Math.exp(TASK_DEVIATION * deviations)
}
