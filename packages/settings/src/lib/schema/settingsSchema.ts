import { Schema } from 'effect'
import { limitsSchema } from './limits'
import { wholeNumber } from './numbers'
import { ipText, nameText, pathText, urlText } from './texts'
import { timingSchema } from './timing'

const MAX_PORT = 65_535
const MAX_WEIGHT = 1000

/** Bunyan's log levels. @public */
export enum LogLevel {
  Trace = 'trace',
  Debug = 'debug',
  Info = 'info',
  Warn = 'warn',
  Error = 'error',
  Fatal = 'fatal',
}

/** @public */
export const DEFAULT_LOG_LEVEL = LogLevel.Info

const portSchema = wholeNumber(1, MAX_PORT, 'TCP port.')

const tlsSchema = Schema.Struct({
  keyFile: pathText('Private key in PEM.'),
  certFile: pathText('Certificate, followed by those that vouch for it, in PEM.'),
}).annotate({ description: 'Makes the interface speak HTTPS.' })

function servedInterface(description: string) {
  return Schema.Struct({
    host: ipText('Address to listen on.'),
    port: portSchema,
    tls: Schema.optionalKey(tlsSchema),
  }).annotate({ description })
}

const instancesInterface = Schema.Struct({
  host: ipText('Address to listen on; the other instances name it among their peers.'),
  port: portSchema,
}).annotate({ description: 'For the other instances.' })

const interfacesSchema = Schema.Struct({
  callers: servedInterface('For callers, behind the balancer.'),
  endpoints: servedInterface('For endpoints; its address is told to them.'),
  operators: servedInterface('For operators, metrics and health checks.'),
  instances: instancesInterface,
}).annotate({ description: 'Where this instance listens.' })

const peerSchema = Schema.Struct({
  instance: nameText('Name of the instance.'),
  zone: nameText('Its availability zone.'),
  host: ipText('Address of its interface for instances.'),
  port: portSchema,
  voter: Schema.optionalKey(
    Schema.Boolean.annotate({ description: 'Whether it is a voter.', default: false }),
  ),
})

const callerToken = Schema.Struct({
  caller: nameText('Name of the caller.'),
  file: pathText('File with its token.'),
  weight: Schema.optionalKey(
    wholeNumber(1, MAX_WEIGHT, 'Share of the caller where callers compete.').annotate({
      default: 1,
    }),
  ),
})

const operatorToken = Schema.Struct({
  operator: nameText('Name of the operator, as the audit record shows it.'),
  file: pathText('File with the token.'),
})

const tokensSchema = Schema.Struct({
  callers: Schema.Array(callerToken).annotate({ description: 'One for each caller.' }),
  endpoints: pathText('File with the token that all endpoints share.'),
  operators: Schema.Array(operatorToken).annotate({ description: 'One for each operator.' }),
  instances: pathText('File with the token that all instances share.'),
}).annotate({
  description: 'Who may use the interfaces. Without it all of them must be on loopback addresses.',
})

const logSchema = Schema.Struct({
  level: Schema.optionalKey(
    Schema.Literals(Object.values(LogLevel)).annotate({
      description: 'Least level that is logged.',
      default: DEFAULT_LOG_LEVEL,
    }),
  ),
  file: Schema.optionalKey(pathText('File to log to; standard output without it.')),
}).annotate({ description: 'The log of the process.' })

const tracesSchema = Schema.Struct({
  file: Schema.optionalKey(pathText('File that spans are added to, one a line.')),
  otlpUrl: Schema.optionalKey(urlText('Collector that spans are sent to, OTLP over HTTP.')),
}).annotate({ description: 'Where spans go; without it none are recorded.' })

/** The schema of a settings file; constraints between settings are in `lib/rules`. @internal */
export const settingsSchema = Schema.Struct({
  instance: nameText('Name of this instance; no other one has it.'),
  zone: nameText('Availability zone of this instance.'),
  interfaces: interfacesSchema,
  peers: Schema.Array(peerSchema).annotate({
    description: 'All other instances. Settings of all instances must agree.',
  }),
  voter: Schema.Boolean.annotate({
    description: 'Whether this instance is a voter, which needs a data folder.',
  }),
  dataFolder: Schema.optionalKey(
    pathText('Folder on a local disk for state that must survive. Used by no other process.'),
  ),
  tokens: Schema.optionalKey(tokensSchema),
  limits: Schema.optionalKey(limitsSchema),
  timing: Schema.optionalKey(timingSchema),
  log: Schema.optionalKey(logSchema),
  traces: Schema.optionalKey(tracesSchema),
})

/** A settings file as it is written, before defaults are filled in. @internal */
export type SettingsFile = typeof settingsSchema.Type
