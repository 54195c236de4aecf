import { Effect, Exit } from 'effect'
import { DrainEnd } from '../../instance/Instance'
import { serve } from '../../serve/serve'
import { CliError, usageError } from '../CliError'
import type { CommandContext } from '../CommandContext'
import { ExitCode } from '../ExitCode'
import { describeExit } from './describeExit'
import { readSettings, readTokens } from './readSettings'

/** Registers `serve`. @internal */
export function registerServeCommand({ cli }: CommandContext): void {
  cli
    .command('serve', 'Run an instance until SIGTERM')
    .option('--settings <file>', 'Settings of this instance')
    .example('cherryhitch serve --settings examples/kitaura/ishikari-1a.jsonc')
    .action(async ({ settings: file }: { readonly settings?: string }) => {
      if (file === undefined) {
        throw usageError('--settings is missing.', 'See the files in examples/.')
      }
      const settings = readSettings(file)
      const exit = await Effect.runPromiseExit(serve(settings, readTokens(settings)))
      if (Exit.isFailure(exit)) {
        const message = `${settings.instance} does not run: ${describeExit(exit)}`
        throw new CliError(ExitCode.Failed, message, 'See also its log.')
      }
      if (exit.value === DrainEnd.Complete) return
      throw new CliError(
        ExitCode.Failed,
        'Draining did not end in time or was hurried, and work in progress was cut off.',
        'The log says what; see "drainLimitMs" in docs/settings.md.',
      )
    })
}
