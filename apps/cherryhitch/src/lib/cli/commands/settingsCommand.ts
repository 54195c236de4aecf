import { usageError } from '../CliError'
import type { CommandContext } from '../CommandContext'
import { readSettings, readTokens } from './readSettings'

/** Registers `settings check`. @internal */
export function registerSettingsCommand({ cli, io }: CommandContext): void {
  cli
    .command('settings <action> <file>', 'Check a settings file (check FILE)')
    .example('cherryhitch settings check examples/kitaura/ishikari-1a.jsonc')
    .action((action: string, file: string) => {
      if (action !== 'check') {
        throw usageError(`"${action}" is not check.`, 'See cherryhitch settings --help.')
      }
      const settings = readSettings(file)
      readTokens(settings)
      io.print(`${file}: good, instance ${settings.instance} of zone ${settings.zone}`)
    })
}
