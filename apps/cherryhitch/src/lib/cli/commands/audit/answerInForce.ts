import { EVERY_INSTANCE, presetInForceAt } from '@cherryhitch/control'
import { CliError } from '../../CliError'
import { ExitCode } from '../../ExitCode'
import { pointInTime } from '../../flags/pointInTime'
import type { AuditRow } from '../../http/operatorViews'
import type { AuditFlags } from './readAuditRows'
import { toAuditRecord } from './verifyAuditRows'

/** What the record says of one moment. @internal */
export interface InForceAnswer {
  /** `*` for the whole system. */
  readonly instance: string
  readonly at: string
  readonly preset: string
  readonly version: number
  readonly since: string
  readonly confirmed: boolean
}

/**
 * Answers which preset was in force at an instance, or in the whole system, at a time.
 *
 * @throws CliError when the record does not say
 * @internal
 */
export function answerInForce(
  rows: readonly AuditRow[],
  flags: AuditFlags,
  now: number,
): InForceAnswer {
  const time = flags.at === undefined ? now : pointInTime(flags.at, '--at')
  const at = new Date(time).toISOString()
  const instance = flags.instance ?? EVERY_INSTANCE
  const found = presetInForceAt(rows.map(toAuditRecord), instance, time)
  if (found === undefined) {
    throw new CliError(
      ExitCode.Failed,
      `The record does not say what was in force ${placeOf(instance)} at ${at}.`,
      'It names each instance from its first confirmation on; see "cherryhitch audit list".',
    )
  }
  const { preset, version, confirmed } = found
  return { instance, at, preset, version, since: new Date(found.since).toISOString(), confirmed }
}

/** @internal */
export function describeInForce(answer: InForceAnswer): string {
  const { instance, at, preset, version, since, confirmed } = answer
  const head = `${at}  ${preset}, version ${version}, in force ${placeOf(instance)} since ${since}`
  if (confirmed) return head
  return `${head}\na newer version counted as in force elsewhere: the instance was cut off, and its answers said "settingsCurrent": false`
}

function placeOf(instance: string): string {
  return instance === EVERY_INSTANCE ? 'in the whole system' : `at ${instance}`
}
