import fs from 'node:fs'
import { usageError } from '../../CliError'

const HINT = 'Make one with "cherryhitch preset show NAME --json" and change it.'

/** A preset as a file gives it; the instance checks the definition. @internal */
export interface NamedDefinition {
  readonly name: string
  readonly definition: Readonly<Record<string, unknown>>
}

/** @throws CliError when the file holds no definition with a name @internal */
export function readDefinition(file: string): NamedDefinition {
  const content = parse(file)
  if (typeof content !== 'object' || content === null) {
    throw usageError(`${file} holds no definition of a preset.`, HINT)
  }
  const { name, ...definition } = content as Readonly<Record<string, unknown>>
  if (typeof name === 'string' && name !== '') return { name, definition }
  throw usageError(`${file} gives the preset no "name".`, HINT)
}

function parse(file: string): unknown {
  try {
    return JSON.parse(fs.readFileSync(file, 'utf8'))
  } catch (err) {
    const detail = err instanceof Error ? err.message : String(err)
    throw usageError(`${file} can't be read as JSON: ${detail}.`, HINT)
  }
}
