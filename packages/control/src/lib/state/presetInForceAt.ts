import { AuditKind } from '@cherryhitch/protocol'
import type { AuditRecord } from '@cherryhitch/protocol'
import { EVERY_INSTANCE } from '../voter/SettingsRollout'

/** The preset that was in force at an instance at a time, according to the audit log. @public */
export interface PresetInForce {
  readonly version: number
  readonly preset: string
  /** When it took effect there, in milliseconds since the epoch, by the instance's clock. */
  readonly since: number
  /**
   * False if a newer version already counted as in force everywhere: the instance was partitioned,
   * its lease had expired, and its answers said that its settings were not confirmed.
   */
  readonly confirmed: boolean
}

/**
 * Finds in the audit log which preset was in force at an instance at a time; for `EVERY_INSTANCE`,
 * which preset counted as in force for the whole system.
 *
 * @param records - all audit records, in order
 * @returns undefined if no record applies, as before the first confirmation of the instance
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

/**
 * The record of the highest version; of equal versions the first record, whatever the clocks say.
 */
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
    const setsPreset = kind === AuditKind.PRESET_SET || kind === AuditKind.INITIALIZED
    return setsPreset && record.version <= version
  })
  return sets.at(-1)?.to ?? ''
}
