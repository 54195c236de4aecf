import fs from 'node:fs'
import { CliError, usageError } from './CliError'
import type { CommandContext } from './CommandContext'
import { connectionOptions, operatorClient, printAnswer } from './CommandContext'
import { ExitCode } from './ExitCode'
import { formatTable } from './formatTable'
import type { ConnectionFlags, HttpClient } from './httpClient'
import type { AuditRow } from './operatorViews'
import { requireGood } from './problems'
import { verifyAuditRows } from './verifyAuditRows'
import type { NumberFlag } from './wholeNumber'
import { wholeNumber } from './wholeNumber'

const PAGE = 500

interface AuditFlags extends ConnectionFlags {
  readonly from?: NumberFlag
  readonly file?: string
}

/** Registers `audit list|show|verify|export`. @internal */
export function registerAuditCommand({ cli, io }: CommandContext): void {
  connectionOptions(
    cli.command(
      'audit <action> [position]',
      'Read the audit record (list, show N, verify, export)',
    ),
  )
    .option('--from <position>', 'First record to list or export', { default: 0 })
    .option('--file <file>', 'Verify an exported file instead of the live record')
    .example('cherryhitch audit list')
    .example('cherryhitch audit export > audit.jsonl')
    .example('cherryhitch audit verify --file audit.jsonl')
    .action(async (action: string, position: string | undefined, flags: AuditFlags) => {
      const rows = await readRows(flags, () => operatorClient(flags, io))
      switch (action) {
        case 'list':
          printAnswer(io, flags, rows, () => auditTable(rows))
          return
        case 'show':
          io.print(JSON.stringify(findRow(rows, position), null, 2))
          return
        case 'export':
          for (const row of rows) io.print(JSON.stringify(row))
          return
        case 'verify':
          io.print(verifyRows(rows))
          return
        default:
          throw usageError(
            `"${action}" is not list, show, verify or export.`,
            'See cherryhitch audit --help.',
          )
      }
    })
}

async function readRows(
  flags: AuditFlags,
  openClient: () => HttpClient,
): Promise<readonly AuditRow[]> {
  if (flags.file !== undefined) return readFile(flags.file)
  const client = openClient()
  const rows: AuditRow[] = []
  let from = wholeNumber(flags.from ?? 0, '--from')
  for (;;) {
    const path = `/v1/audit?from=${from}&limit=${PAGE}`
    const page = requireGood(await client.ask({ method: 'GET', path })) as {
      readonly current: boolean
      readonly records: readonly AuditRow[]
    }
    if (!page.current) throw notCurrent()
    rows.push(...page.records)
    const last = page.records.at(-1)
    if (last === undefined) return rows
    from = last.position + 1
  }
}

function notCurrent(): CliError {
  return new CliError(
    ExitCode.Unreachable,
    'The quorum of voters can not be reached, so the record can not be read as a whole.',
    'Ask again later, or an instance of another zone.',
  )
}

function readFile(file: string): readonly AuditRow[] {
  const lines = fs.readFileSync(file, 'utf8').split('\n')
  return lines.filter((line) => line !== '').map((line) => JSON.parse(line) as AuditRow)
}

function findRow(rows: readonly AuditRow[], position: string | undefined): AuditRow {
  const row = rows.find((candidate) => String(candidate.position) === position)
  if (row !== undefined) return row
  throw usageError(`There is no record ${position ?? ''}.`, 'See cherryhitch audit list.')
}

function verifyRows(rows: readonly AuditRow[]): string {
  const damage = verifyAuditRows(rows)
  if (damage === undefined) return `${rows.length} records, chain unbroken`
  throw new CliError(
    ExitCode.Failed,
    damage,
    'The record was altered or cut: compare it with an earlier export.',
  )
}

function auditTable(rows: readonly AuditRow[]): string {
  const headings = ['POS', 'AT', 'KIND', 'VERSION', 'FROM', 'TO', 'OPERATOR', 'INSTANCE', 'REASON']
  return formatTable(
    headings,
    rows.map((row) => [
      row.position,
      row.at,
      row.kind,
      row.version,
      row.from,
      row.to,
      row.operator,
      row.instance,
      row.reason,
    ]),
  )
}
