/**
 * Metrics, logs and traces.
 *
 * @packageDocumentation
 */
export {}
