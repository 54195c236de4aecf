import type { CAC } from 'cac'
import { CliError } from './CliError'
import type { CliIo } from './CliIo'
import { createCli } from './createCli'
import { ExitCode } from './ExitCode'
import { keepAsTyped } from './flags/flagsAsTyped'

/**
 * Runs one command line.
 *
 * @param argv - as in `process.argv`
 * @returns the exit code
 * @public
 */
export async function runCli(argv: readonly string[], io: CliIo): Promise<ExitCode> {
  const cli = createCli(io)
  try {
    cli.parse([...argv], { run: false })
    if (cli.options.help === true || cli.options.version === true) return ExitCode.Ok
    if (cli.matchedCommand === undefined) return explainMissing(cli.args[0], io)
    keepAsTyped(cli, argv)
    await cli.runMatchedCommand()
    return ExitCode.Ok
  } catch (err) {
    return explain(err, cli, io)
  }
}

function explainMissing(name: string | undefined, io: CliIo): ExitCode {
  io.printError(name === undefined ? 'No command is given.' : `There is no command "${name}".`)
  io.printError('See cherryhitch --help.')
  return ExitCode.Usage
}

function explain(err: unknown, cli: CAC, io: CliIo): ExitCode {
  if (err instanceof CliError) {
    io.printError(err.message)
    io.printError(err.hint)
    return err.exitCode
  }
  if (err instanceof Error && err.name === 'CACError') {
    const command = cli.matchedCommandName ?? ''
    io.printError(`${err.message}.`)
    io.printError(`See cherryhitch ${command} --help.`)
    return ExitCode.Usage
  }
  io.printError(`A fault of the program: ${err instanceof Error ? err.stack : String(err)}`)
  io.printError('Report this message.')
  return ExitCode.Failed
}
