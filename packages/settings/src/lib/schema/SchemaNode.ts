import { Schema } from 'effect'
import type { SettingPath } from '../problems/SettingsProblem'
import { settingsSchema } from './settingsSchema'

/** The subset of JSON Schema that the settings use. @internal */
export interface SchemaNode {
  readonly type?: string
  /** The allowed values in words, where type and bounds don't describe them fully. */
  readonly title?: string
  readonly description?: string
  readonly default?: unknown
  readonly minimum?: number
  readonly maximum?: number
  readonly enum?: readonly unknown[]
  readonly properties?: Readonly<Record<string, SchemaNode>>
  readonly required?: readonly string[]
  readonly items?: SchemaNode
  readonly allOf?: readonly SchemaNode[]
}

/** Merges the members of `allOf`, which may hold the bounds of a schema. @internal */
export function flatten(node: SchemaNode): SchemaNode {
  const parts = node.allOf ?? []
  return parts.reduceRight<SchemaNode>((merged, part) => ({ ...part, ...merged }), node)
}

/** The schema of the settings as JSON Schema. @internal */
export const rootNode: SchemaNode = Schema.toJsonSchemaDocument(settingsSchema).schema

/** The schema of one setting; undefined when there is no such setting. @internal */
export function nodeAt(path: SettingPath): SchemaNode | undefined {
  let node: SchemaNode | undefined = rootNode
  for (const part of path) {
    node = typeof part === 'number' ? node?.items : node?.properties?.[part]
  }
  return node === undefined ? undefined : flatten(node)
}

function quote(value: unknown): string {
  return JSON.stringify(value)
}

/** Describes the allowed values of a setting in words. @internal */
export function describeAllowed(node: SchemaNode): string {
  if (node.title !== undefined) return node.title
  if (node.enum !== undefined) return `one of ${node.enum.map(quote).join(', ')}`
  switch (node.type) {
    case 'integer':
      return `a whole number from ${node.minimum ?? '-∞'} to ${node.maximum ?? '∞'}`
    case 'boolean':
      return 'true or false'
    case 'array':
      return 'a list'
    case 'object':
      return 'a group of settings'
    default:
      return 'a text'
  }
}
