/**
 * HTTP servers for callers, endpoints and operators.
 *
 * @packageDocumentation
 */
export { EndpointService } from './lib/services/EndpointService'
export type { HeartbeatReply } from './lib/services/EndpointService'
export { JobService } from './lib/services/JobService'
export type { JobQuestion } from './lib/services/JobService'
export { OperatorService } from './lib/services/OperatorService'
export type { AuditPage, EndpointStatus, SettingsStatus } from './lib/services/OperatorService'
export { AccessRole, Authenticator } from './lib/auth/Authenticator'
export type { AccessToken } from './lib/auth/Authenticator'
export { BearerAuthenticator } from './lib/auth/BearerAuthenticator'
export { CALLER_HEADER, OPERATOR_HEADER, createAuthenticator } from './lib/auth/createAuthenticator'
export { HeaderAuthenticator } from './lib/auth/HeaderAuthenticator'
export type { HeaderAuthenticatorOptions } from './lib/auth/HeaderAuthenticator'
export { OpenAuthenticator } from './lib/auth/OpenAuthenticator'
export { isOperatorName } from './lib/auth/isOperatorName'
export { startCallerServer } from './lib/callers/startCallerServer'
export type { CallerServerOptions } from './lib/callers/startCallerServer'
export { startEndpointServer } from './lib/endpoints/startEndpointServer'
export type { EndpointServerOptions } from './lib/endpoints/startEndpointServer'
export type { HealthSource } from './lib/health/HealthSource'
export { startOperatorServer } from './lib/operators/startOperatorServer'
export type { OperatorServerOptions } from './lib/operators/startOperatorServer'
export type { MetricsText } from './lib/operators/metricsRoute'
export type { HttpCounters, HttpServer } from './lib/server/HttpServer'
export { HttpServerError, HttpServerErrorKind } from './lib/server/HttpServerError'
export { defaultHttpLimits } from './lib/server/HttpServerOptions'
export type {
  HttpClock,
  HttpLimits,
  HttpServerOptions,
  RefusedRequest,
  TlsFiles,
} from './lib/server/HttpServerOptions'
export { openServer } from './lib/server/openServer'
export { Method } from './lib/routing/Router'
export type { Handler, Route } from './lib/routing/Router'
export type { ApiRequest } from './lib/exchange/ApiRequest'
export { jsonReply } from './lib/exchange/Reply'
export type { Reply } from './lib/exchange/Reply'
export { healthRoutes } from './lib/health/healthRoutes'
export { RequestError, RequestErrorKind } from './lib/problems/RequestError'
export { retryAfterHeader } from './lib/problems/problemReply'
export { metricsRoute } from './lib/operators/metricsRoute'
