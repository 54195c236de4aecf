import { cac } from 'cac'
import { registerAuditCommand } from './auditCommand'
import { CliError } from './CliError'
import type { CliIo } from './CliIo'
import { registerControlCommand } from './controlCommand'
import { registerDemoCommand } from './demoCommand'
import { ExitCode } from './ExitCode'
import { registerPresetCommand } from './presetCommand'
import { registerServeCommand } from './serveCommand'
import { registerSettingsCommand } from './settingsCommand'
import { registerSubmitCommands } from './submitCommand'
import { VERSION } from './version'
import { registerViewCommands } from './viewCommands'

/**
 * Runs one command line.
 *
 * @param argv - as in `process.argv`
 * @returns the exit code
 * @public
 */
export async function runCli(argv: readonly string[], io: CliIo): Promise<ExitCode> {
  const cli = cac('cherryhitch')
  const context = { cli, io }
  registerServeCommand(context)
  registerSubmitCommands(context)
  registerViewCommands(context)
  registerPresetCommand(context)
  registerAuditCommand(context)
  registerControlCommand(context)
  registerSettingsCommand(context)
  registerDemoCommand(context)
  cli.command('version', 'Print the version').action(() => {
    io.print(VERSION)
  })
  cli.help()
  cli.version(VERSION)
  try {
    cli.parse([...argv], { run: false })
    if (cli.options.help === true || cli.options.version === true) return ExitCode.Ok
    if (cli.matchedCommand === undefined) return explainMissing(cli.args[0], io)
    await cli.runMatchedCommand()
    return ExitCode.Ok
  } catch (err) {
    return explain(err, io)
  }
}

function explainMissing(name: string | undefined, io: CliIo): ExitCode {
  io.printError(name === undefined ? 'No command is given.' : `There is no command "${name}".`)
  io.printError('See cherryhitch --help.')
  return ExitCode.Usage
}

function explain(err: unknown, io: CliIo): ExitCode {
  if (err instanceof CliError) {
    io.printError(err.message)
    io.printError(err.hint)
    return err.exitCode
  }
  if (err instanceof Error && err.name === 'CACError') {
    io.printError(`${err.message}.`)
    io.printError('See cherryhitch --help.')
    return ExitCode.Usage
  }
  throw err
}
