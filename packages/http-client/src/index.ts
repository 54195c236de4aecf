/**
 * HTTP requests to endpoints, with limits on the time and size of the response.
 *
 * @packageDocumentation
 */
export { exchange, HttpFailure, startExchange } from './lib/exchange'
export type { HttpReply, HttpRequestOptions, HttpResult } from './lib/exchange'
