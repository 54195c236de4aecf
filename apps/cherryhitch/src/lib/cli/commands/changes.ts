import { randomUUID } from 'node:crypto'
import { CliError, usageError } from '../CliError'
import type { CliIo } from '../CliIo'
import type { CliCommand } from '../CommandContext'
import { ExitCode } from '../ExitCode'
import type { ConnectionFlags, HttpClient, HttpQuestion } from '../http/HttpClient'
import { requireGood } from '../http/problems'

/** Flags of every command that changes what the voters hold. @internal */
export interface ChangeFlags extends ConnectionFlags {
  readonly reason?: string
  readonly operator?: string
  readonly commandId?: string
}

/** A change before it has a command id and a reason. @internal */
export interface Change {
  readonly method: HttpQuestion['method']
  readonly path: string
  readonly body: Readonly<Record<string, unknown>>
}

/** What the log answers to a change that it took. @internal */
export interface Applied {
  readonly commandId: string
  readonly version: number
}

/** @internal */
export function changeOptions(command: CliCommand): CliCommand {
  return command
    .option('--reason <text>', 'Why, for the audit record')
    .option('--operator <name>', 'Operator, where no tokens are set')
    .option('--command-id <id>', 'Of a change whose answer was lost: learn what became of it')
}

/**
 * Proposes a change to the voters. The command id is printed before the answer is known, so that
 * the same command can be sent again when the answer is lost.
 *
 * @throws CliError when it was refused, or when its outcome is not known
 * @internal
 */
export async function proposeChange(
  client: HttpClient,
  change: Change,
  flags: ChangeFlags,
  io: CliIo,
): Promise<Applied> {
  const { reason, operator } = flags
  if (reason === undefined || reason.trim() === '') {
    throw usageError('--reason is missing.', 'Auditors read it: say why.')
  }
  requireOperator(flags, io)
  const commandId = flags.commandId ?? randomUUID()
  io.printError(`command id ${commandId}`)
  const { method, path } = change
  const body = { ...change.body, reason, commandId }
  const headers = operator === undefined ? {} : { 'cherryhitch-operator': operator }
  try {
    return requireGood(await client.ask({ method, path, headers, body })) as Applied
  } catch (err) {
    throw withAdvice(err, commandId)
  }
}

/** The record names who made a change: the token says it, or else the operator does. */
function requireOperator({ operator, tokenFile }: ChangeFlags, { env }: CliIo): void {
  if (operator !== undefined) return
  if (tokenFile !== undefined || env.CHERRYHITCH_TOKEN_FILE !== undefined) return
  const hint = 'Give --operator NAME, or --token-file where the settings have tokens.'
  throw usageError('Nobody is named for the audit record.', hint)
}

/** Tells how to learn what became of the change, or what to read before the next one. */
function withAdvice(err: unknown, commandId: string): unknown {
  if (!(err instanceof CliError)) return err
  if (err.exitCode === ExitCode.Unknown) {
    const hint = `Send the same command again with --command-id ${commandId} to learn what became of it.`
    return new CliError(err.exitCode, err.message, hint)
  }
  if (err.exitCode !== ExitCode.Conflict) return err
  const hint =
    'Nothing was changed. Read "cherryhitch preset show", then decide again from that version.'
  return new CliError(err.exitCode, err.message, hint)
}
