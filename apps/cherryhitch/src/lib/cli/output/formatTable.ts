/** A cell of a table. @internal */
export type Cell = string | number | boolean

const GAP = '  '

/** Lays rows out under headings, columns padded to their widest cell. @internal */
export function formatTable(
  headings: readonly string[],
  rows: readonly (readonly Cell[])[],
): string {
  const lines = [headings, ...rows.map((row) => row.map(String))]
  const widths = headings.map((_, column) =>
    Math.max(...lines.map((line) => (line[column] ?? '').length)),
  )
  return lines
    .map((line) => line.map((cell, column) => cell.padEnd(widths[column] ?? 0)).join(GAP))
    .map((line) => line.trimEnd())
    .join('\n')
}
