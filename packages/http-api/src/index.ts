/**
 * HTTP towards callers, endpoints and operators.
 *
 * @packageDocumentation
 */
export { EndpointService } from './lib/services/EndpointService'
export type { HeartbeatReply } from './lib/services/EndpointService'
export { JobService } from './lib/services/JobService'
export type { JobQuestion } from './lib/services/JobService'
export { OperatorService } from './lib/services/OperatorService'
export type { AuditPage, EndpointStatus, SettingsStatus } from './lib/services/OperatorService'
