/**
 * How long a task's result that may already be in flight is awaited before the owner acts on an
 * endpoint's statement that the task does not run. By the users' documentation, the one-way latency
 * between availability zones is 1 to 1.5 ms; the rest is margin for busy processes.
 *
 * @internal
 */
export const IN_FLIGHT_GRACE_MS = 200
