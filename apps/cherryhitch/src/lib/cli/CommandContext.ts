import type { CAC } from 'cac'
import type { CliIo } from './CliIo'
import type { ConnectionFlags } from './httpClient'
import { HttpClient } from './httpClient'

/** Environment variable with the URL of an instance's operator interface. */
const OPERATORS_VARIABLE = 'CHERRYHITCH_OPERATORS_URL'
/** Environment variable with the URL of an instance's, or the balancer's, caller interface. */
const CALLERS_VARIABLE = 'CHERRYHITCH_CALLERS_URL'
const DEFAULT_OPERATORS_URL = 'http://127.0.0.1:7103'
const DEFAULT_CALLERS_URL = 'http://127.0.0.1:7101'

/** What commands are registered with. @internal */
export interface CommandContext {
  readonly cli: CAC
  readonly io: CliIo
}

/** Opens the operator interface that the flags or the environment name. @internal */
export function operatorClient(flags: ConnectionFlags, io: CliIo): HttpClient {
  return HttpClient.open(flags, io, OPERATORS_VARIABLE, DEFAULT_OPERATORS_URL)
}

/** Opens the caller interface that the flags or the environment name. @internal */
export function callerClient(flags: ConnectionFlags, io: CliIo): HttpClient {
  return HttpClient.open(flags, io, CALLERS_VARIABLE, DEFAULT_CALLERS_URL)
}

/** Adds the options of a command that asks an instance. @internal */
export function connectionOptions(command: ReturnType<CAC['command']>): ReturnType<CAC['command']> {
  return command
    .option('--url <url>', 'Interface of an instance; else from the environment')
    .option('--token-file <file>', 'File with the bearer token; else CHERRYHITCH_TOKEN_FILE')
    .option('--json', 'Print JSON for scripts')
}

/** Prints a table for people, or the answer itself for scripts. @internal */
export function printAnswer(
  io: CliIo,
  flags: ConnectionFlags,
  answer: unknown,
  table: () => string,
): void {
  io.print(flags.json === true ? JSON.stringify(answer, null, 2) : table())
}
