import fs from 'node:fs'
import { usageError } from '../../CliError'
import type { AuditRow } from '../../http/operatorViews'

const HINT = 'Such a file is made by "cherryhitch audit export".'

/** Reads an exported record. @throws CliError when the file is none @internal */
export function readAuditFile(file: string): readonly AuditRow[] {
  const lines = readText(file).split('\n')
  const rows: AuditRow[] = []
  for (const [index, line] of lines.entries()) {
    if (line !== '') rows.push(readLine(line, `${file}:${index + 1}`))
  }
  return rows
}

function readText(file: string): string {
  try {
    return fs.readFileSync(file, 'utf8')
  } catch (err) {
    const detail = err instanceof Error ? err.message : String(err)
    throw usageError(`${file} can't be read: ${detail}.`, HINT)
  }
}

function readLine(line: string, place: string): AuditRow {
  try {
    const row: unknown = JSON.parse(line)
    if (typeof row === 'object' && row !== null && 'hash' in row) return row as AuditRow
  } catch {
    // Told below, like all else that is no record.
  }
  throw usageError(`${place}: this is no audit record.`, HINT)
}
