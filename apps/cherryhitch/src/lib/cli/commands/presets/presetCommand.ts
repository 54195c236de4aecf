import { usageError } from '../../CliError'
import type { CliIo } from '../../CliIo'
import type { CommandContext } from '../../CommandContext'
import { operatorClient, operatorOptions, printAnswer } from '../../CommandContext'
import { refuseStrayFlags } from '../../flags/refuseStrayFlags'
import { wholeNumber } from '../../flags/wholeNumber'
import type { HttpClient } from '../../http/HttpClient'
import type { SettingsRow } from '../../http/operatorViews'
import { requireRead } from '../../http/problems'
import type { Change, ChangeFlags } from '../changes'
import { changeOptions, proposeChange } from '../changes'
import { awaitVersion } from './awaitVersion'
import { describePreset, describeSettings, presetTable } from './describePresets'
import { readDefinition } from './readDefinition'

interface PresetFlags extends ChangeFlags {
  readonly from?: string
  readonly wait?: boolean
}

const CHANGE_FLAGS = ['from', 'reason', 'commandId', 'wait']
const ACTIONS = 'show, list, set or define'

/** Registers `preset show|list|set|define`. @internal */
export function registerPresetCommand({ cli, io }: CommandContext): void {
  const command = cli.command(
    'preset <action> [name]',
    'The presets (show, show NAME, list, set NAME, define FILE)',
  )
  changeOptions(operatorOptions(command))
    .option('--from <version>', 'Version that the change starts from; see "preset show"')
    .option('--wait', 'Wait until every living instance works under the new version')
    .example('cherryhitch preset show')
    .example('cherryhitch preset set peak --from 12 --reason "filing window closes on Friday"')
    .example('cherryhitch preset show peak --json > month-end.json')
    .example('cherryhitch preset define month-end.json --from 12 --reason "agreed on 3 March"')
    .action((action: string, name: string | undefined, flags: PresetFlags) =>
      runAction(action, name, flags, io),
    )
}

function runAction(
  action: string,
  name: string | undefined,
  flags: PresetFlags,
  io: CliIo,
): Promise<void> {
  const reads = action === 'show' || action === 'list'
  refuseStrayFlags(flags, reads ? [] : CHANGE_FLAGS, `preset ${action}`)
  switch (action) {
    case 'show':
      return name === undefined ? showInForce(flags, io) : showPreset(name, flags, io)
    case 'list':
      return listPresets(flags, io)
    case 'set':
      return setPreset(name, flags, io)
    case 'define':
      return definePreset(name, flags, io)
    default:
      throw usageError(`"${action}" is not ${ACTIONS}.`, 'See cherryhitch preset --help.')
  }
}

async function readSettings(client: HttpClient): Promise<SettingsRow> {
  return requireRead(await client.ask({ method: 'GET', path: '/v1/settings' })) as SettingsRow
}

async function showInForce(flags: PresetFlags, io: CliIo): Promise<void> {
  const settings = await readSettings(operatorClient(flags, io))
  printAnswer(io, flags, settings, () => describeSettings(settings))
}

async function listPresets(flags: PresetFlags, io: CliIo): Promise<void> {
  const settings = await readSettings(operatorClient(flags, io))
  printAnswer(io, flags, settings, () => presetTable(settings))
}

async function showPreset(name: string, flags: PresetFlags, io: CliIo): Promise<void> {
  const settings = await readSettings(operatorClient(flags, io))
  const preset = settings.presets.find((candidate) => candidate.name === name)
  if (preset === undefined) {
    throw usageError(`There is no preset "${name}".`, 'See cherryhitch preset list.')
  }
  printAnswer(io, flags, preset, () => describePreset(preset))
}

async function setPreset(name: string | undefined, flags: PresetFlags, io: CliIo): Promise<void> {
  if (name === undefined) throw usageError('No preset is named.', 'See cherryhitch preset list.')
  const body = { name, fromVersion: fromVersion(flags) }
  const change = { method: 'PUT', path: '/v1/preset', body } as const
  await makeChange(change, `preset ${name}`, flags, io)
}

async function definePreset(
  file: string | undefined,
  flags: PresetFlags,
  io: CliIo,
): Promise<void> {
  if (file === undefined) {
    throw usageError('No file is named.', 'Make one with "preset show NAME --json".')
  }
  const { name, definition } = readDefinition(file)
  const body = { fromVersion: fromVersion(flags), definition }
  const path = `/v1/presets/${encodeURIComponent(name)}`
  const change = { method: 'PUT', path, body } as const
  await makeChange(change, `definition of ${name}`, flags, io)
}

async function makeChange(
  change: Change,
  what: string,
  flags: PresetFlags,
  io: CliIo,
): Promise<void> {
  const client = operatorClient(flags, io)
  const answer = await proposeChange(client, change, flags, io)
  printAnswer(io, flags, answer, () => `committed as version ${answer.version}: ${what}`)
  if (flags.wait === true) io.printError(await awaitVersion(client, answer.version, io))
}

function fromVersion({ from }: PresetFlags): number {
  if (from !== undefined) return wholeNumber(from, '--from')
  throw usageError('--from is missing.', 'Give the version that "cherryhitch preset show" prints.')
}
