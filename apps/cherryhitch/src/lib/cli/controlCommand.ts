import { randomUUID } from 'node:crypto'
import { usageError } from './CliError'
import type { CommandContext } from './CommandContext'
import { connectionOptions, operatorClient, printAnswer } from './CommandContext'
import { formatTable } from './formatTable'
import type { ConnectionFlags, HttpClient } from './httpClient'
import { initVotersFolder } from './initVotersFolder'
import type { VotersRow } from './operatorViews'
import { requireGood } from './problems'

interface ControlFlags extends ConnectionFlags {
  readonly settings?: string
  readonly cluster?: string
  readonly instance?: string
  readonly diskId?: string
  readonly reason?: string
  readonly operator?: string
}

const changeKinds: Readonly<Record<string, string>> = {
  add: 'add_learner',
  promote: 'promote',
  remove: 'remove',
}

/** Registers `control status|init|add|promote|remove`. @internal */
export function registerControlCommand({ cli, io }: CommandContext): void {
  connectionOptions(
    cli.command('control <action>', 'The voters: status, init, add, promote, remove'),
  )
    .option('--settings <file>', 'init: settings of the voter whose data folder is made')
    .option('--cluster <name>', 'init: the same name on each of the first voters')
    .option('--instance <name>', 'add, promote, remove: the instance with the voter')
    .option(
      '--disk-id <id>',
      'add, promote, remove: identity of its disk; see the log at its start',
    )
    .option('--reason <text>', 'Why, for the audit record')
    .option('--operator <name>', 'Operator, where no tokens are set')
    .example('cherryhitch control init --settings voter-1.jsonc --cluster kitaura-2026')
    .example('cherryhitch control status')
    .action(async (action: string, flags: ControlFlags) => {
      if (action === 'init') {
        io.print(await initVotersFolder(flags.settings, flags.cluster))
        return
      }
      const client = operatorClient(flags, io)
      if (action === 'status') {
        const voters = requireGood(
          await client.ask({ method: 'GET', path: '/v1/voters' }),
        ) as VotersRow
        printAnswer(io, flags, voters, () => describeVoters(voters))
        return
      }
      const answer = await changeVoters(client, action, flags)
      printAnswer(io, flags, answer, () => `${action}: done, version ${answer.version}`)
    })
}

async function changeVoters(
  client: HttpClient,
  action: string,
  flags: ControlFlags,
): Promise<{ readonly version: number }> {
  const kind = changeKinds[action]
  if (kind === undefined) {
    throw usageError(
      `"${action}" is not status, init, add, promote or remove.`,
      'See cherryhitch control --help.',
    )
  }
  const { instance, diskId, reason } = flags
  if (instance === undefined || diskId === undefined || reason === undefined) {
    throw usageError('--instance, --disk-id and --reason are needed.', 'See control status.')
  }
  const body = { kind, instance, diskId, reason, commandId: randomUUID() }
  const headers =
    flags.operator === undefined ? undefined : { 'cherryhitch-operator': flags.operator }
  const question = { method: 'POST', path: '/v1/voters', body } as const
  const answer = await client.ask(headers === undefined ? question : { ...question, headers })
  return requireGood(answer) as { version: number }
}

function describeVoters(voters: VotersRow): string {
  const head = `leader ${voters.leader}  term ${voters.term}  committed ${voters.commitIndex}`
  const safety = `may lose ${voters.safeLosses} more without losing the quorum`
  const rows = voters.members.map((member) => [
    member.instance,
    member.diskId,
    member.learner ? 'learner' : 'voter',
    voters.commitIndex - member.matchIndex,
    `${Math.round(member.silentMs)} ms`,
  ])
  const table = formatTable(['INSTANCE', 'DISK', 'ROLE', 'BEHIND', 'SILENT'], rows)
  return [head, safety, table].join('\n')
}
