import fs from 'node:fs'
import { Result as Decoded, Schema, SchemaIssue } from 'effect'
import type { Result } from 'ts-results'
import { Err, Mechanism, Ok } from '@cherryhitch/model'
import { SettingsText } from '../parse/SettingsText'
import { formatFound } from '../problems/SettingsProblem'
import type { SettingPath, SettingsProblem } from '../problems/SettingsProblem'

const Port = Schema.Number
/** Exceeds the number of voter hosts of any deployment. */
const MAX_TOLERATED_LOSSES = 100

/** The settings of an entry or a dispatching instance. */
const schema = Schema.Struct({
  /** Name in logs. */
  name: Schema.String,
  /** IP address of this instance. */
  host: Schema.String,
  zone: Schema.String,
  /** Port on which other instances reach this one; the same on all of them. */
  linkPort: Port,
  /** Port that serves the metrics. */
  metricsPort: Port,
  /** Hosts and ports of some dispatching instances; not all of them need to be running. */
  seeds: Schema.Array(Schema.String),
  /** True when the whole system starts for the first time, with empty disks. */
  firstStart: Schema.Boolean,
  /** Number of voter hosts that may be lost at the same time; 1 by default. */
  toleratedLosses: Schema.optional(
    Schema.Int.check(Schema.isBetween({ minimum: 0, maximum: MAX_TOLERATED_LOSSES })),
  ),
  /** Data folder of the voter; entries have none. */
  dataFolder: Schema.optional(Schema.String),
  /** Host and port for callers. */
  callers: Schema.optional(Schema.String),
  /** Host and port for readiness probes. */
  readiness: Schema.optional(Schema.String),
  /** Host and port for endpoints and operators. */
  control: Schema.optional(Schema.String),
  /** Interval at which endpoints announce themselves, in milliseconds. */
  heartbeatMs: Schema.Number,
  /** Longest lease that endpoints grant, in milliseconds. */
  maxLeaseMs: Schema.Number,
  /**
   * Least time between a caller's attempt that got no answer and its next one for the same job, in
   * milliseconds; by default callers promise none.
   */
  resubmitDelayMs: Schema.optional(Schema.Number.check(Schema.isGreaterThanOrEqualTo(0))),
  /** Mechanisms of dispatching to disable, to measure the effect of each; none by default. */
  without: Schema.optional(Schema.Array(Schema.Enum(Mechanism))),
  /** Time from the request to stop until the process is killed, in milliseconds. */
  stopGraceMs: Schema.Number,
})

/** Settings of an instance that takes jobs (an entry) or dispatches them. @public */
export type DispatchSettings = typeof schema.Type

/** The role of an instance, which decides which settings are required. @public */
export enum DispatchRole {
  /** Takes jobs from callers. */
  Entry = 'entry',
  /** Queues jobs and dispatches their tasks. */
  Dispatch = 'dispatch',
}

const requiredByRole: Readonly<Record<DispatchRole, readonly (keyof DispatchSettings)[]>> = {
  [DispatchRole.Entry]: ['callers', 'readiness'],
  [DispatchRole.Dispatch]: ['control', 'dataFolder'],
}

const decode = Schema.decodeUnknownResult(schema)
const formatIssue = SchemaIssue.makeFormatterStandardSchemaV1()

/** Reads the settings of an entry or a dispatching instance from a file. @public */
export function loadDispatchSettings(
  file: string,
  role: DispatchRole,
): Result<DispatchSettings, readonly SettingsProblem[]> {
  try {
    return parseDispatchSettings(fs.readFileSync(file, 'utf8'), file, role)
  } catch (err) {
    const found = `no readable file (${err instanceof Error ? err.message : String(err)})`
    return Err([{ file, line: 0, setting: '', found, allowed: 'a settings file' }])
  }
}

/** Parses and checks the text of a settings file; unknown settings are ignored. @public */
export function parseDispatchSettings(
  text: string,
  file: string,
  role: DispatchRole,
): Result<DispatchSettings, readonly SettingsProblem[]> {
  const parsed = new SettingsText(text, file)
  const syntax = [...parsed.syntaxProblems(), ...parsed.duplicateProblems()]
  if (syntax.length > 0) return Err(syntax)
  const decoded = decode(parsed.value, { errors: 'all' })
  if (Decoded.isSuccess(decoded)) {
    const settings = decoded.success
    const missing = requiredByRole[role].filter((name) => settings[name] === undefined)
    if (missing.length === 0) return Ok(settings)
    const allowed = `a value, which the role "${role}" needs`
    return Err(missing.map((name) => parsed.locate({ path: [name], found: 'nothing', allowed })))
  }
  const { issues } = formatIssue(decoded.failure.issue)
  return Err(
    issues.map(({ path = [], message }) => {
      const found = formatFound(valueAt(parsed.value, path as SettingPath))
      return parsed.locate({ path: path as SettingPath, found, allowed: message })
    }),
  )
}

function valueAt(value: unknown, path: SettingPath): unknown {
  return path.reduce<unknown>((inner, part) => {
    return (inner as Readonly<Record<string | number, unknown>> | undefined)?.[part]
  }, value)
}
