import type { AccessToken, HttpServer, HttpServerError } from '@cherryhitch/http-api'
import {
  AccessRole,
  createAuthenticator,
  startCallerServer,
  startEndpointServer,
  startOperatorServer,
} from '@cherryhitch/http-api'
import type {
  EndpointService,
  HealthSource,
  JobService,
  OperatorService,
} from '@cherryhitch/http-api'
import type { Tokens } from '@cherryhitch/settings'
import { Effect } from 'effect'
import type { Scope } from 'effect'
import type { InstanceOptions, ListenAddress } from './InstanceOptions'

/** The three HTTP servers of an instance. @internal */
export interface InstanceInterfaces {
  readonly callers: HttpServer
  readonly endpoints: HttpServer
  readonly operators: HttpServer
}

/** The services that handle the servers' requests. @internal */
export interface InterfaceServices {
  readonly jobs: JobService
  readonly endpoints: EndpointService
  readonly operators: OperatorService
  readonly health: HealthSource
}

/** @internal */
export function startInterfaces(
  options: InstanceOptions,
  services: InterfaceServices,
): Effect.Effect<InstanceInterfaces, HttpServerError, Scope.Scope> {
  const { telemetry } = options
  const { health } = services
  const tokens = accessTokens(options.tokens)
  const log = (line: string): void => {
    telemetry.log('http', line)
  }
  const common = (address: ListenAddress, role: AccessRole) => ({
    host: address.host,
    port: address.port,
    ...(address.tls === undefined ? {} : { tls: address.tls }),
    ...(options.limits === undefined ? {} : { limits: options.limits }),
    auth: createAuthenticator(role, tokens),
    health,
    log,
  })
  return Effect.gen(function* () {
    const callers = yield* startCallerServer({
      ...common(options.callers, AccessRole.Caller),
      jobs: services.jobs,
    })
    const endpoints = yield* startEndpointServer({
      ...common(options.endpoints, AccessRole.Endpoint),
      endpoints: services.endpoints,
    })
    const operators = yield* startOperatorServer({
      ...common(options.operators, AccessRole.Operator),
      operators: services.operators,
      metrics: () => telemetry.renderMetrics(),
    })
    return { callers, endpoints, operators }
  })
}

function accessTokens(tokens: Tokens | undefined): readonly AccessToken[] {
  if (tokens === undefined) return []
  const callers = tokens.callers.map(({ caller, token }) => ({
    role: AccessRole.Caller,
    name: caller,
    token,
  }))
  const operators = tokens.operators.map(({ operator, token }) => ({
    role: AccessRole.Operator,
    name: operator,
    token,
  }))
  const endpoints = { role: AccessRole.Endpoint, name: 'endpoints', token: tokens.endpoints }
  return [...callers, ...operators, endpoints]
}
