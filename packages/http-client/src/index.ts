/**
 * One HTTP request to an endpoint, with the bounds of its answer.
 *
 * @packageDocumentation
 */
export { exchange, HttpFailure, startExchange } from './lib/exchange'
export type { ExchangeEnd, HttpExchange, HttpReply } from './lib/exchange'
