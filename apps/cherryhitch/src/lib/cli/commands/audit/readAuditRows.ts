import { usageError } from '../../CliError'
import { wholeNumber } from '../../flags/wholeNumber'
import type { ConnectionFlags, HttpClient } from '../../http/HttpClient'
import type { AuditRow } from '../../http/operatorViews'
import { requireRead, unreachableQuorum } from '../../http/problems'
import { readAuditFile } from './readAuditFile'
import { readLastRows } from './readLastRows'

/** @internal */
export interface AuditFlags extends ConnectionFlags {
  readonly from?: string
  readonly limit?: string
  readonly last?: string
  readonly changes?: boolean
  readonly file?: string
  readonly against?: string
  readonly instance?: string
  readonly at?: string
}

/** An instance gives 1000 at most. */
const PAGE = 500

/** Reads records from a file, or page by page from an instance. @internal */
export async function readAuditRows(
  flags: AuditFlags,
  openClient: () => HttpClient,
): Promise<readonly AuditRow[]> {
  const from = wholeNumber(flags.from ?? '0', '--from')
  const limit =
    flags.limit === undefined ? Number.POSITIVE_INFINITY : wholeNumber(flags.limit, '--limit')
  if (flags.file !== undefined) {
    return readAuditFile(flags.file)
      .filter(({ position }) => position >= from)
      .slice(0, limit)
  }
  const client = openClient()
  const rows: AuditRow[] = []
  while (rows.length < limit) {
    const page = await readPage(client, from + rows.length, Math.min(PAGE, limit - rows.length))
    if (page.length === 0) break
    rows.push(...page)
  }
  return rows
}

/** Reads what `audit list` shows: a part of the record, or its newest end. @internal */
export async function readListedRows(
  flags: AuditFlags,
  openClient: () => HttpClient,
): Promise<readonly AuditRow[]> {
  const isWanted = (row: AuditRow) => flags.changes !== true || row.kind !== 'in_force'
  if (flags.last === undefined) return (await readAuditRows(flags, openClient)).filter(isWanted)
  const count = wholeNumber(flags.last, '--last')
  if (flags.from !== undefined || flags.limit !== undefined) {
    throw usageError('--last goes with neither --from nor --limit.', 'Give one or the other.')
  }
  if (flags.file !== undefined) {
    const rows = readAuditFile(flags.file).filter(isWanted)
    return rows.slice(Math.max(0, rows.length - count))
  }
  const client = openClient()
  return readLastRows((from, limit) => readPage(client, from, limit), count, isWanted, PAGE)
}

/** Reads one record. @throws CliError when there is none at the position @internal */
export async function readAuditRow(
  position: string | undefined,
  flags: AuditFlags,
  openClient: () => HttpClient,
): Promise<AuditRow> {
  if (position === undefined) throw usageError('No record is named.', 'Try "audit show 0".')
  const wanted = wholeNumber(position, 'audit show')
  const rows =
    flags.file === undefined
      ? await readPage(openClient(), wanted, 1)
      : readAuditFile(flags.file).filter((row) => row.position === wanted)
  const row = rows[0]
  if (row !== undefined) return row
  throw usageError(`There is no record ${position}.`, 'See cherryhitch audit list.')
}

async function readPage(
  client: HttpClient,
  from: number,
  limit: number,
): Promise<readonly AuditRow[]> {
  const path = `/v1/audit?from=${from}&limit=${limit}`
  const page = requireRead(await client.ask({ method: 'GET', path })) as {
    readonly current: boolean
    readonly records: readonly AuditRow[]
  }
  if (page.current) return page.records
  throw unreachableQuorum('The quorum of voters can not be reached, so the record can not be read.')
}
