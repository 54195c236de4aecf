import { usageError } from '../../CliError'
import type { CliIo } from '../../CliIo'
import type { CommandContext } from '../../CommandContext'
import { operatorClient, operatorOptions, printAnswer } from '../../CommandContext'
import { refuseStrayFlags } from '../../flags/refuseStrayFlags'
import type { AuditRow } from '../../http/operatorViews'
import { formatTable } from '../../output/formatTable'
import { answerInForce, describeInForce } from './answerInForce'
import type { AuditFlags } from './readAuditRows'
import { readAuditRow, readAuditRows, readListedRows } from './readAuditRows'
import { describeAgreement, requireUnbroken } from './verifyAuditRows'

/** What each action may be told besides the connection. */
const actionFlags: ReadonlyMap<string, readonly string[]> = new Map([
  ['list', ['from', 'limit', 'last', 'changes', 'file']],
  ['show', ['file']],
  ['export', ['from', 'limit', 'file']],
  ['verify', ['file', 'against']],
  ['in-force', ['file', 'instance', 'at']],
])
const ACTIONS = 'list, show, verify, export or in-force'

/** Registers `audit list|show|verify|export|in-force`. @internal */
export function registerAuditCommand({ cli, io }: CommandContext): void {
  const command = cli.command(
    'audit <action> [position]',
    'The audit record (list, show N, verify, export, in-force)',
  )
  operatorOptions(command)
    .option('--from <position>', 'list, export: first record; else 0')
    .option('--limit <n>', 'list, export: records at most')
    .option('--last <n>', 'list: the newest records instead')
    .option('--changes', 'list: without the records of when a version took force')
    .option('--file <file>', 'Read an exported file instead of the live record')
    .option('--against <file>', 'verify: the record must begin with this earlier export')
    .option('--instance <name>', 'in-force: at this instance; else for the whole system')
    .option('--at <time>', 'in-force: at this time, with an offset; else now')
    .example('cherryhitch audit list --last 10 --changes')
    .example('cherryhitch audit list --from 120')
    .example('cherryhitch audit export > audit.jsonl')
    .example('cherryhitch audit verify --against audit.jsonl')
    .example('cherryhitch audit in-force --instance ishikari-1a --at 2026-03-31T09:00:00+09:00')
    .action((action: string, position: string | undefined, flags: AuditFlags) =>
      runAction(action, position, flags, io),
    )
}

async function runAction(
  action: string,
  position: string | undefined,
  flags: AuditFlags,
  io: CliIo,
): Promise<void> {
  refuseStrayFlags(flags, actionFlags.get(action) ?? Object.keys(flags), `audit ${action}`)
  const openClient = () => operatorClient(flags, io)
  switch (action) {
    case 'list': {
      const rows = await readListedRows(flags, openClient)
      printAnswer(io, flags, rows, () => auditTable(rows))
      return
    }
    case 'show':
      io.print(JSON.stringify(await readAuditRow(position, flags, openClient), null, 2))
      return
    case 'export':
      for (const row of await readAuditRows(flags, openClient)) io.print(JSON.stringify(row))
      return
    case 'verify': {
      const rows = requireUnbroken(await readAuditRows(flags, openClient))
      io.print(describeAgreement(rows, flags.against))
      return
    }
    case 'in-force': {
      const rows = requireUnbroken(await readAuditRows(flags, openClient))
      const answer = answerInForce(rows, flags, io.now())
      printAnswer(io, flags, answer, () => describeInForce(answer))
      return
    }
    default:
      throw usageError(`"${action}" is not ${ACTIONS}.`, 'See cherryhitch audit --help.')
  }
}

function auditTable(rows: readonly AuditRow[]): string {
  const headings = ['POS', 'AT', 'KIND', 'VERSION', 'FROM', 'TO', 'OPERATOR', 'INSTANCE', 'REASON']
  return formatTable(
    headings,
    rows.map((row) => [
      row.position,
      row.atMs === 0 ? UNTIMED : row.at,
      row.kind,
      row.version,
      shorten(row.from),
      shorten(row.to),
      row.operator,
      row.instance,
      row.reason,
    ]),
  )
}

/** The first record: each of the first voters makes it by itself, and all have to make the same. */
const UNTIMED = 'first start'
const MAX_CELL_LENGTH = 40

/** Definitions of presets are long; `audit show` prints them whole. */
function shorten(text: string): string {
  return text.length > MAX_CELL_LENGTH ? `${text.slice(0, MAX_CELL_LENGTH)}…` : text
}
