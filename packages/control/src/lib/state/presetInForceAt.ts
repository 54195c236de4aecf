import { AuditKind } from '@cherryhitch/protocol'
import type { AuditRecord } from '@cherryhitch/protocol'
import { EVERY_INSTANCE } from '../voter/SettingsSpread'

/** What the record says was in force at an instance at a time. @public */
export interface PresetInForce {
  readonly version: number
  readonly preset: string
  /** When it took force there, in milliseconds since the epoch, by the instance's clock. */
  readonly since: number
  /**
   * False when a newer version counted as in force already: the instance was cut off, its lease
   * had run out, and it told so in its answers.
   */
  readonly confirmed: boolean
}

/**
 * Reads from the audit record which preset was in force at an instance at a time; for
 * `EVERY_INSTANCE`, which one counted as in force for the whole system.
 *
 * @param records - the whole record, in order
 * @returns undefined when the record does not say, as before the instance's first confirmation
 * @public
 */
export function presetInForceAt(
  records: readonly AuditRecord[],
  instance: string,
  time: number,
): PresetInForce | undefined {
  const until = records.filter(({ kind, atMs }) => kind === AuditKind.IN_FORCE && atMs <= time)
  const own = newest(until, instance)
  if (own === undefined) return undefined
  const { version, atMs: since } = own
  const everywhere = newest(until, EVERY_INSTANCE)?.version ?? 0
  return { version, preset: presetOf(records, version), since, confirmed: version >= everywhere }
}

/** Of two records with the same version the first one counts, whatever the clocks say. */
function newest(records: readonly AuditRecord[], instance: string): AuditRecord | undefined {
  let found: AuditRecord | undefined
  for (const record of records) {
    if (record.instance !== instance) continue
    if (found === undefined || record.version > found.version) found = record
  }
  return found
}

function presetOf(records: readonly AuditRecord[], version: number): string {
  const sets = records.filter((record) => {
    const { kind } = record
    const names = kind === AuditKind.PRESET_SET || kind === AuditKind.INITIALIZED
    return names && record.version <= version
  })
  return sets.at(-1)?.to ?? ''
}
