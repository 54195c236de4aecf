import { randomUUID } from 'node:crypto'
import { usageError } from './CliError'
import type { CommandContext } from './CommandContext'
import { connectionOptions, operatorClient, printAnswer } from './CommandContext'
import { formatTable } from './formatTable'
import type { ConnectionFlags, HttpClient } from './httpClient'
import type { SettingsRow } from './operatorViews'
import { requireGood } from './problems'
import type { NumberFlag } from './wholeNumber'
import { wholeNumber } from './wholeNumber'

interface PresetFlags extends ConnectionFlags {
  readonly from?: NumberFlag
  readonly reason?: string
  readonly operator?: string
  readonly commandId?: string
}

/** Registers `preset show|list|set`. @internal */
export function registerPresetCommand({ cli, io }: CommandContext): void {
  connectionOptions(
    cli.command('preset <action> [name]', 'Show, list or set the preset (show, list, set NAME)'),
  )
    .option('--from <version>', 'Version that the change starts from; see "preset show"')
    .option('--reason <text>', 'Why, for the audit record')
    .option('--operator <name>', 'Operator, where no tokens are set')
    .option('--command-id <id>', 'Give the id of a lost answer to learn what became of it')
    .example('cherryhitch preset show')
    .example('cherryhitch preset set peak --from 12 --reason "filing window closes on Friday"')
    .action(async (action: string, name: string | undefined, flags: PresetFlags) => {
      const client = operatorClient(flags, io)
      switch (action) {
        case 'show':
        case 'list': {
          const settings = await readSettings(client, flags)
          printAnswer(io, flags, settings, () =>
            action === 'show' ? describeSettings(settings) : presetTable(settings),
          )
          return
        }
        case 'set': {
          const commandId = flags.commandId ?? randomUUID()
          // Known before the answer is, so that a lost answer can be asked for.
          io.printError(`command id ${commandId}`)
          const answer = await setPreset(client, name, commandId, flags)
          printAnswer(io, flags, answer, () => `in force: ${name ?? ''}, version ${answer.version}`)
          return
        }
        default:
          throw usageError(
            `"${action}" is not show, list or set.`,
            'See cherryhitch preset --help.',
          )
      }
    })
}

function operatorHeaders(flags: PresetFlags): Readonly<Record<string, string>> {
  return flags.operator === undefined ? {} : { 'cherryhitch-operator': flags.operator }
}

async function readSettings(client: HttpClient, flags: PresetFlags): Promise<SettingsRow> {
  const headers = operatorHeaders(flags)
  return requireGood(
    await client.ask({ method: 'GET', path: '/v1/settings', headers }),
  ) as SettingsRow
}

function describeSettings(settings: SettingsRow): string {
  const standing = settings.current ? 'confirmed by the quorum' : 'newest known here, not confirmed'
  return `${settings.preset}  version ${settings.version}  (${standing})`
}

function presetTable(settings: SettingsRow): string {
  const rows = settings.presets.map(({ name, description }) => [
    name === settings.preset ? '*' : '',
    name,
    description,
  ])
  return formatTable(['', 'PRESET', 'WHEN TO CHOOSE IT'], rows)
}

async function setPreset(
  client: HttpClient,
  name: string | undefined,
  commandId: string,
  flags: PresetFlags,
): Promise<{ readonly version: number }> {
  if (name === undefined) throw usageError('No preset is named.', 'See cherryhitch preset list.')
  if (flags.from === undefined) {
    throw usageError('--from is missing.', 'Give the version that "preset show" prints.')
  }
  if (flags.reason === undefined) {
    throw usageError('--reason is missing.', 'Auditors read it: say why.')
  }
  const body = {
    name,
    fromVersion: wholeNumber(flags.from, '--from'),
    reason: flags.reason,
    commandId,
  }
  const headers = operatorHeaders(flags)
  const answer = await client.ask({ method: 'PUT', path: '/v1/preset', headers, body })
  return requireGood(answer) as { version: number }
}
