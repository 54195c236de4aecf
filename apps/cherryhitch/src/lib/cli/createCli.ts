import type { CAC } from 'cac'
import { cac } from 'cac'
import type { CliIo } from './CliIo'
import { registerAuditCommand } from './commands/audit/auditCommand'
import { registerControlCommand } from './commands/control/controlCommand'
import { registerDemoCommand } from './commands/demoCommand'
import { registerDispatchCommands } from './commands/dispatchCommands'
import { registerJobCommand } from './commands/jobs/jobCommand'
import { registerSubmitCommand } from './commands/jobs/submitCommand'
import { registerPresetCommand } from './commands/presets/presetCommand'
import { registerServeCommand } from './commands/serveCommand'
import { registerSettingsCommand } from './commands/settingsCommand'
import { registerStandInCommand } from './commands/standInCommand'
import { registerViewCommands } from './commands/viewCommands'
import { registerZonesCommand } from './commands/zones/zonesCommand'
import { exitCodeTexts } from './ExitCode'
import { VERSION } from './version'

/** The command line with all commands, not yet run. @internal */
export function createCli(io: CliIo): CAC {
  const cli = cac('cherryhitch')
  const context = { cli, io }
  registerServeCommand(context)
  registerDispatchCommands(context)
  registerSubmitCommand(context)
  registerJobCommand(context)
  registerViewCommands(context)
  registerPresetCommand(context)
  registerZonesCommand(context)
  registerAuditCommand(context)
  registerControlCommand(context)
  registerSettingsCommand(context)
  registerStandInCommand(context)
  registerDemoCommand(context)
  cli.command('version', 'Print the version').action(() => {
    io.print(VERSION)
  })
  cli.help((sections) => [...sections, { title: 'Exit codes', body: exitCodeTable() }])
  cli.version(VERSION)
  return cli
}

function exitCodeTable(): string {
  const lines = Object.entries(exitCodeTexts).map(([code, text]) => `  ${code}  ${text}`)
  return lines.join('\n')
}
