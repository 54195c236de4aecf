import { usageError } from '../../CliError'
import type { CliIo } from '../../CliIo'
import type { CommandContext } from '../../CommandContext'
import { operatorClient, operatorOptions, printAnswer } from '../../CommandContext'
import { refuseStrayFlags } from '../../flags/refuseStrayFlags'
import type { VotersRow } from '../../http/operatorViews'
import { requireRead } from '../../http/problems'
import type { ChangeFlags } from '../changes'
import { changeOptions, proposeChange } from '../changes'
import { describeVoters } from './describeVoters'
import { initVotersFolder } from './initVotersFolder'

interface ControlFlags extends ChangeFlags {
  readonly settings?: string
  readonly cluster?: string
  readonly instance?: string
  readonly diskId?: string
}

/** What actions that change no member may be told besides the connection. */
const actionFlags: ReadonlyMap<string, readonly string[]> = new Map([
  ['init', ['settings', 'cluster']],
  ['status', []],
])

/** Actions that change the set of voters, and their words in the operator interface. */
const changeKinds: ReadonlyMap<string, string> = new Map([
  ['add', 'add_learner'],
  ['promote', 'promote'],
  ['remove', 'remove'],
])

/** Registers `control status|init|add|promote|remove`. @internal */
export function registerControlCommand({ cli, io }: CommandContext): void {
  const command = cli.command('control <action>', 'The voters (status, init, add, promote, remove)')
  changeOptions(operatorOptions(command))
    .option('--settings <file>', 'init: settings of the voter whose data folder is made')
    .option('--cluster <name>', 'init: the same new name on each of the first voters')
    .option('--instance <name>', 'add, promote, remove: the instance with the voter')
    .option('--disk-id <id>', 'add, promote, remove: identity of its disk, from its log or status')
    .example('cherryhitch control init --settings voter-1.jsonc --cluster kitaura-2026')
    .example('cherryhitch control status')
    .example(
      'cherryhitch control add --instance ishikari-2a --disk-id ishikari-2a-4f1c --reason "new disk"',
    )
    .action((action: string, flags: ControlFlags) => runAction(action, flags, io))
}

async function runAction(action: string, flags: ControlFlags, io: CliIo): Promise<void> {
  const own = actionFlags.get(action) ?? ['instance', 'diskId', 'reason', 'commandId']
  refuseStrayFlags(flags, own, `control ${action}`)
  if (action === 'init') {
    io.print(await initVotersFolder(flags.settings, flags.cluster))
    return
  }
  if (action === 'status') {
    const question = { method: 'GET', path: '/v1/voters' } as const
    const voters = requireRead(await operatorClient(flags, io).ask(question)) as VotersRow
    printAnswer(io, flags, voters, () => describeVoters(voters))
    return
  }
  await changeVoters(action, flags, io)
}

async function changeVoters(action: string, flags: ControlFlags, io: CliIo): Promise<void> {
  const kind = changeKinds.get(action)
  if (kind === undefined) {
    const message = `"${action}" is not status, init, add, promote or remove.`
    throw usageError(message, 'See cherryhitch control --help.')
  }
  const { instance, diskId } = flags
  if (instance === undefined || diskId === undefined) {
    throw usageError('--instance and --disk-id are needed.', 'See cherryhitch control status.')
  }
  const change = { method: 'POST', path: '/v1/voters', body: { kind, instance, diskId } } as const
  const answer = await proposeChange(operatorClient(flags, io), change, flags, io)
  printAnswer(io, flags, answer, () => `committed: ${action} ${diskId} on ${instance}`)
}
