/**
 * Endpoints, callers and faulty links that this repository writes, for tests and measurements.
 *
 * @packageDocumentation
 */
export {}
