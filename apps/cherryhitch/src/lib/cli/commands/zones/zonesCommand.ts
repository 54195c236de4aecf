import { usageError } from '../../CliError'
import type { CliIo } from '../../CliIo'
import type { CommandContext } from '../../CommandContext'
import { operatorClient, operatorOptions, printAnswer } from '../../CommandContext'
import { refuseStrayFlags } from '../../flags/refuseStrayFlags'
import type { HttpClient } from '../../http/HttpClient'
import type { ZonesRow } from '../../http/operatorViews'
import { requireRead } from '../../http/problems'
import { formatTable } from '../../output/formatTable'
import type { ChangeFlags } from '../changes'
import { changeOptions, proposeChange } from '../changes'
import { awaitVersion } from '../presets/awaitVersion'

interface ZonesFlags extends ChangeFlags {
  readonly wait?: boolean
}

const ORDER_FLAGS = ['reason', 'commandId', 'wait']

/** Registers `zones list|drain|restore`. @internal */
export function registerZonesCommand({ cli, io }: CommandContext): void {
  const command = cli.command(
    'zones <action> [zone]',
    'Drained availability zones (list, drain ZONE, restore ZONE)',
  )
  changeOptions(operatorOptions(command))
    .option('--wait', 'Wait until every living instance works under the new version')
    .example('cherryhitch zones list')
    .example('cherryhitch zones drain ishikari-2 --reason "power maintenance on 4 December" --wait')
    .example('cherryhitch zones restore ishikari-2 --reason "power is back"')
    .action((action: string, zone: string | undefined, flags: ZonesFlags) =>
      runAction(action, zone, flags, io),
    )
}

function runAction(
  action: string,
  zone: string | undefined,
  flags: ZonesFlags,
  io: CliIo,
): Promise<void> {
  refuseStrayFlags(flags, action === 'list' ? [] : ORDER_FLAGS, `zones ${action}`)
  switch (action) {
    case 'list':
      return listZones(flags, io)
    case 'drain':
      return setDrain(zone, true, flags, io)
    case 'restore':
      return setDrain(zone, false, flags, io)
    default:
      throw usageError(
        `"${action}" is not list, drain or restore.`,
        'See cherryhitch zones --help.',
      )
  }
}

async function readZones(client: HttpClient): Promise<ZonesRow> {
  return requireRead(await client.ask({ method: 'GET', path: '/v1/zones' })) as ZonesRow
}

async function listZones(flags: ZonesFlags, io: CliIo): Promise<void> {
  const zones = await readZones(operatorClient(flags, io))
  printAnswer(io, flags, zones, () => describeZones(zones))
}

async function setDrain(
  zone: string | undefined,
  drained: boolean,
  flags: ZonesFlags,
  io: CliIo,
): Promise<void> {
  if (zone === undefined) throw usageError('No zone is named.', 'See cherryhitch instances.')
  const client = operatorClient(flags, io)
  const { version: fromVersion } = await readZones(client)
  const path = `/v1/zones/${encodeURIComponent(zone)}`
  const change = { method: 'PUT', path, body: { drained, fromVersion } } as const
  const answer = await proposeChange(client, change, flags, io)
  const state = drained ? 'drained' : 'restored'
  printAnswer(io, flags, answer, () => `committed as version ${answer.version}: ${zone} ${state}`)
  if (flags.wait === true) io.printError(await awaitVersion(client, answer.version, io))
}

function describeZones({ zones }: ZonesRow): string {
  if (zones.length === 0) return 'no zone was ever drained'
  const rows = zones.map(({ zone, drained, version, at, operator, reason }) => {
    return [zone, drained ? 'drained' : 'in use', version, at, operator, reason]
  })
  return formatTable(['ZONE', 'STATE', 'VERSION', 'SINCE', 'OPERATOR', 'REASON'], rows)
}
