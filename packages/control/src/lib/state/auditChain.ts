import { createHash } from 'node:crypto'
import { create } from '@bufbuild/protobuf'
import type { MessageInitShape } from '@bufbuild/protobuf'
import { AuditRecordSchema } from '@cherryhitch/protocol'
import type { AuditRecord, SettingsState } from '@cherryhitch/protocol'
import type { Result } from 'ts-results'
import { Err, Ok } from '@cherryhitch/model'

/** Version of the canonical encoding below; part of the hashed data. */
const ENCODING_VERSION = 1

/** `previous_hash` of the first record. @public */
export const FIRST_PREVIOUS_HASH = '0'.repeat(64)

/** Content of an audit record, without its position and hashes in the chain. @internal */
export type AuditContent = Omit<
  MessageInitShape<typeof AuditRecordSchema>,
  '$typeName' | '$unknown' | 'position' | 'previousHash' | 'hash'
>

/** Position and reason of the first fault in an audit chain. @public */
export interface AuditFault {
  readonly position: number
  readonly reason: string
}

/**
 * SHA-256, in hexadecimal, over a JSON array of all fields except `hash`, in the order of the
 * message. A JSON array of strings and numbers has a single encoding, which an auditor can rebuild.
 *
 * @public
 */
export function hashAuditRecord(record: AuditRecord): string {
  const fields = [
    ENCODING_VERSION,
    record.position,
    record.kind,
    record.operator,
    record.reason,
    record.from,
    record.to,
    record.version,
    record.atMs,
    record.commandId,
    record.instance,
    record.boot,
    record.previousHash,
  ]
  return createHash('sha256').update(JSON.stringify(fields)).digest('hex')
}

/** Creates the record that follows the given one in the chain. @internal */
export function chainRecord(previous: AuditRecord | undefined, content: AuditContent): AuditRecord {
  const record = create(AuditRecordSchema, content)
  record.position = previous === undefined ? 0 : previous.position + 1
  record.previousHash = previous?.hash ?? FIRST_PREVIOUS_HASH
  record.hash = hashAuditRecord(record)
  return record
}

/**
 * Checks that no record was altered, removed, inserted or moved.
 *
 * A page that starts after position 0 is checked from the `previous_hash` of its first record on.
 * Truncation at the end cannot be detected from the records alone; pass `settings` to check that
 * the record of the newest settings version is present.
 *
 * @public
 */
export function verifyAudit(
  records: readonly AuditRecord[],
  settings?: SettingsState,
): Result<void, AuditFault> {
  let previous: AuditRecord | undefined
  for (const record of records) {
    const reason = checkRecord(previous, record)
    if (reason !== undefined) return Err({ position: record.position, reason })
    previous = record
  }
  if (settings !== undefined && !records.some((record) => record.hash === settings.auditHash)) {
    const reason = `the record of version ${settings.version} is missing`
    return Err({ position: (previous?.position ?? -1) + 1, reason })
  }
  return Ok.EMPTY
}

function checkRecord(previous: AuditRecord | undefined, record: AuditRecord): string | undefined {
  if (record.hash !== hashAuditRecord(record)) return 'the record does not match its hash'
  if (previous === undefined) {
    const altered = record.position === 0 && record.previousHash !== FIRST_PREVIOUS_HASH
    return altered ? 'the first record names one before it' : undefined
  }
  if (record.position !== previous.position + 1) return 'the position does not follow'
  if (record.previousHash !== previous.hash) return 'the hash of the record before does not match'
  return undefined
}
