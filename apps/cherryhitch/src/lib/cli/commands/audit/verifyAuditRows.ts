import { create } from '@bufbuild/protobuf'
import { verifyAudit } from '@cherryhitch/control'
import type { AuditRecord } from '@cherryhitch/protocol'
import { AuditKind, AuditRecordSchema } from '@cherryhitch/protocol'
import { CliError } from '../../CliError'
import { ExitCode } from '../../ExitCode'
import type { AuditRow } from '../../http/operatorViews'
import { readAuditFile } from './readAuditFile'

/** Rows come as JSON with the kind as a word; the hash covers the record itself. @internal */
export function toAuditRecord(row: AuditRow): AuditRecord {
  const { kind, ...fields } = row
  const name = kind.toUpperCase() as keyof typeof AuditKind
  return create(AuditRecordSchema, { ...fields, kind: AuditKind[name] })
}

/**
 * Checks the hash chain of audit records as the operator interface gives them.
 *
 * @returns the same rows
 * @throws CliError that names the first record which does not hold
 * @internal
 */
export function requireUnbroken(rows: readonly AuditRow[]): readonly AuditRow[] {
  const verdict = verifyAudit(rows.map(toAuditRecord))
  if (verdict.ok) return rows
  throw altered(`Record ${verdict.val.position}: ${verdict.val.reason}.`)
}

/**
 * Says that the chain holds, and that the record still begins with an earlier export if one is
 * given: whoever could rewrite the whole chain could not rewrite a copy that was taken away.
 *
 * @throws CliError when it differs from the export
 * @internal
 */
export function describeAgreement(rows: readonly AuditRow[], against: string | undefined): string {
  const last = rows.at(-1)
  const end = last === undefined ? '' : `, last hash ${last.hash}`
  const summary = `${rows.length} records, chain unbroken${end}`
  if (against === undefined) return summary
  const earlier = readAuditFile(against)
  const byPosition = new Map(rows.map((row) => [row.position, row.hash]))
  const differs = earlier.find(({ position, hash }) => byPosition.get(position) !== hash)
  if (differs !== undefined) throw altered(`Record ${differs.position} differs from ${against}.`)
  return `${summary}\nthe ${earlier.length} records of ${against} are unchanged`
}

function altered(message: string): CliError {
  const hint = 'The record was altered or cut: keep a copy, and compare it with earlier exports.'
  return new CliError(ExitCode.Failed, message, hint)
}
