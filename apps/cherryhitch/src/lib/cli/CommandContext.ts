import type { CAC } from 'cac'
import type { CliIo } from './CliIo'
import type { ConnectionFlags } from './http/HttpClient'
import { HttpClient } from './http/HttpClient'

/** Ports of the first instance in `examples/kitaura`. */
const operators = {
  variable: 'CHERRYHITCH_OPERATORS_URL',
  fallback: 'http://127.0.0.1:7113',
} as const
const callers = {
  variable: 'CHERRYHITCH_CALLERS_URL',
  fallback: 'http://127.0.0.1:7111',
} as const

/** What commands are registered with. @internal */
export interface CommandContext {
  readonly cli: CAC
  readonly io: CliIo
}

/** @internal */
export type CliCommand = ReturnType<CAC['command']>

/** Opens the operator interface that the flags or the environment name. @internal */
export function operatorClient(flags: ConnectionFlags, io: CliIo): HttpClient {
  return HttpClient.open(flags, io, operators)
}

/** Opens the caller interface that the flags or the environment name. @internal */
export function callerClient(flags: ConnectionFlags, io: CliIo): HttpClient {
  return HttpClient.open(flags, io, callers)
}

/** Adds the options of a command that asks an instance for operators. @internal */
export function operatorOptions(command: CliCommand): CliCommand {
  return connectionOptions(command, operators)
}

/** Adds the options of a command that asks an instance as a caller. @internal */
export function callerOptions(command: CliCommand): CliCommand {
  return connectionOptions(command, callers)
}

function connectionOptions(command: CliCommand, source: typeof operators | typeof callers) {
  return command
    .option('--url <url>', `Interface of an instance; else ${source.variable}, ${source.fallback}`)
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
