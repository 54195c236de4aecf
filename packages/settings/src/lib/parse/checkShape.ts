import { Result, Schema, SchemaIssue } from 'effect'
import { formatFound } from '../problems/SettingsProblem'
import type { ContentProblem, SettingPath } from '../problems/SettingsProblem'
import { describeAllowed, nodeAt } from '../schema/SchemaNode'
import { settingsSchema } from '../schema/settingsSchema'

const decode = Schema.decodeUnknownResult(settingsSchema)
const formatIssue = SchemaIssue.makeFormatterStandardSchemaV1()

function valueAt(value: unknown, path: SettingPath): unknown {
  return path.reduce<unknown>(
    (inner, part) => (inner as Readonly<Record<string | number, unknown>> | undefined)?.[part],
    value,
  )
}

function toProblem(value: unknown, path: SettingPath): ContentProblem {
  const node = nodeAt(path)
  if (node !== undefined) {
    return { path, found: formatFound(valueAt(value, path)), allowed: describeAllowed(node) }
  }
  const known = Object.keys(nodeAt(path.slice(0, -1))?.properties ?? {})
  return { path, found: 'an unknown setting', allowed: `one of ${known.join(', ')}` }
}

/** Returns every difference between a settings file and the schema. @internal */
export function checkShape(value: unknown): readonly ContentProblem[] {
  const decoded = decode(value, { errors: 'all', onExcessProperty: 'error' })
  if (Result.isSuccess(decoded)) return []
  const { issues } = formatIssue(decoded.failure.issue)
  return issues.map(({ path = [] }) => toProblem(value, path as SettingPath))
}
