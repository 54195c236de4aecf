function pad(cells: readonly string[], widths: readonly number[]): string {
  return `| ${cells.map((cell, i) => cell.padEnd(widths[i] ?? 0)).join(' | ')} |`
}

/** Renders a Markdown table with its columns aligned as Prettier does. @internal */
export function renderTable(head: readonly string[], rows: readonly (readonly string[])[]): string {
  const escaped = rows.map((row) => row.map((cell) => cell.replaceAll('|', '\\|')))
  const widths = head.map((title, i) =>
    Math.max(title.length, ...escaped.map((row) => row[i]?.length ?? 0)),
  )
  const separator = widths.map((width) => '-'.repeat(width))
  return [head, separator, ...escaped].map((row) => pad(row, widths)).join('\n')
}
