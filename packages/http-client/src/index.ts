/**
 * One HTTP request to an endpoint, with the bounds of its answer.
 *
 * @packageDocumentation
 */
export { exchange, HttpFailure } from './lib/exchange'
export type { HttpExchange, HttpReply } from './lib/exchange'
