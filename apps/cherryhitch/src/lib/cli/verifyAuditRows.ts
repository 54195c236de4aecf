import { create } from '@bufbuild/protobuf'
import { verifyAudit } from '@cherryhitch/control'
import type { AuditRecord } from '@cherryhitch/protocol'
import { AuditKind, AuditRecordSchema } from '@cherryhitch/protocol'
import type { AuditRow } from './operatorViews'

/** Rows come as JSON with the kind as a word; the hash covers the record itself. */
function toRecord(row: AuditRow): AuditRecord {
  const { kind, ...fields } = row
  const name = kind.toUpperCase() as keyof typeof AuditKind
  return create(AuditRecordSchema, { ...fields, kind: AuditKind[name] })
}

/**
 * Checks the hash chain of audit records as the operator interface gives them.
 *
 * @returns what is wrong, or undefined when the chain is unbroken
 * @internal
 */
export function verifyAuditRows(rows: readonly AuditRow[]): string | undefined {
  const verdict = verifyAudit(rows.map(toRecord))
  return verdict.ok ? undefined : `record ${verdict.val.position}: ${verdict.val.reason}.`
}
