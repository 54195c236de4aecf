import type { DispatchSettings } from '@cherryhitch/settings'
import { DispatchRole, formatSettingsProblem, loadDispatchSettings } from '@cherryhitch/settings'
import { Effect, Exit } from 'effect'
import { runDispatch } from '../../dispatching/runDispatch'
import { runEntry } from '../../dispatching/runEntry'
import { CliError, usageError } from '../CliError'
import type { CommandContext } from '../CommandContext'
import { ExitCode } from '../ExitCode'
import { describeExit } from './describeExit'

interface SettingsFlag {
  readonly settings?: string
}

/** Registers `entry` and `dispatch`. @internal */
export function registerDispatchCommands({ cli }: CommandContext): void {
  cli
    .command('entry', 'Take jobs from callers until SIGTERM')
    .option('--settings <file>', 'Settings of this instance')
    .example('cherryhitch entry --settings entry.jsonc')
    .action(async ({ settings }: SettingsFlag) => run(settings, DispatchRole.Entry, runEntry))
  cli
    .command('dispatch', 'Queue jobs and dispatch their tasks until SIGTERM')
    .option('--settings <file>', 'Settings of this instance')
    .example('cherryhitch dispatch --settings dispatch.jsonc')
    .action(async ({ settings }: SettingsFlag) => run(settings, DispatchRole.Dispatch, runDispatch))
}

async function run(
  file: string | undefined,
  role: DispatchRole,
  program: (settings: DispatchSettings) => Effect.Effect<string, unknown>,
): Promise<void> {
  if (file === undefined) throw usageError('--settings is missing.', 'See docs/OPERATIONS.md.')
  const loaded = loadDispatchSettings(file, role)
  if (loaded.err) {
    throw usageError(loaded.val.map(formatSettingsProblem).join('\n'), 'See docs/OPERATIONS.md.')
  }
  const settings = loaded.val
  const exit = await Effect.runPromiseExit(program(settings))
  if (Exit.isSuccess(exit)) return
  const message = `${settings.name} does not run: ${describeExit(exit)}`
  throw new CliError(ExitCode.Failed, message, 'See also its log.')
}
