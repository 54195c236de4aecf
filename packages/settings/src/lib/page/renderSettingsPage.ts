import { describeAllowed, flatten, rootNode } from '../schema/SchemaNode'
import type { SchemaNode } from '../schema/SchemaNode'
import { renderTable } from './renderTable'

const introduction = `# Settings of an instance

This page is generated from the schema; change that and run
\`npx tsx packages/settings/src/lib/page/writeSettingsPage.ts\`.

\`cherryhitch serve --settings FILE\` reads the settings of one instance from a file in JSON with
comments. They say who the instance is, where it listens, who its peers are and what bounds it
keeps. A process reads them once, when it starts. The files of all instances have to agree on
instances, zones, addresses and voters.

Policies are not set here. How much is admitted, how fast is retried and how callers share is
decided by the preset in force, which operators choose for all instances at once
(\`cherryhitch preset\`); each change stands in the audit record. The bounds on this page protect a
process and do not change from day to day.

A file with any problem is refused as a whole. Every problem is told at once, each on a line with
the file, the line in it, the setting, what was found and what is allowed. Unknown settings and
settings that stand twice are problems too.

\`examples/kitaura\` and \`examples/sabarmati\` hold the files of two whole sets of instances on
loopback addresses.

Beyond the tables, these rules hold:

- Interfaces are on loopback addresses unless there are \`tokens\`.
- Each interface and each instance has an address of its own. \`endpoints\`, \`instances\` and peers
  name one address, not \`0.0.0.0\` or \`::\`, since others are told it.
- \`peers\` names all other instances once, and not this one. A zone is written the same everywhere.
- A voter has a \`dataFolder\`, and there is at least one voter. Three, each in a zone of its own, go
  on when one of them is lost.
- \`endpointTimeoutMs\` and \`leaseMs\` are at least three times \`heartbeatMs\`, and
  \`instanceTimeoutMs\` at least three times \`instanceHeartbeatMs\`.
- A token file holds one token of 16 or more printable characters without spaces, and no two files
  the same one.
`

interface Group {
  readonly path: string
  readonly node: SchemaNode
}

/** Returns the group that a setting contains: the setting itself, or the items of its list. */
function nestedGroup(path: string, node: SchemaNode): Group | undefined {
  if (node.properties !== undefined) return { path, node }
  if (node.items?.properties !== undefined) return { path: `${path}[]`, node: node.items }
  return undefined
}

function formatDefault(node: SchemaNode, isRequired: boolean): string {
  if (isRequired) return 'required'
  return node.default === undefined ? 'none' : `\`${JSON.stringify(node.default)}\``
}

function renderGroup({ path, node }: Group): string {
  const required = node.required ?? []
  const prefix = path === '' ? '' : `${path}.`
  const fields = Object.entries(node.properties ?? {}).map(
    ([name, field]) => [name, flatten(field)] as const,
  )
  const rows = fields.map(([name, field]) => [
    `\`${name}\``,
    describeAllowed(field),
    formatDefault(field, required.includes(name)),
    field.description ?? '',
  ])
  const title = path === '' ? '## All settings' : `## \`${path}\``
  const table = renderTable(['setting', 'allowed', 'default', 'meaning'], rows)
  const nested = fields.flatMap(([name, field]) => nestedGroup(prefix + name, field) ?? [])
  return [`${title}\n\n${table}\n`, ...nested.map(renderGroup)].join('\n')
}

/** Renders `docs/settings.md` from the schema. @public */
export function renderSettingsPage(): string {
  return `${introduction}\n${renderGroup({ path: '', node: rootNode })}`
}
