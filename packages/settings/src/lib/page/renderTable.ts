function pad(cells: readonly string[], widths: readonly number[]): string {
  return `| ${cells.map((cell, i) => cell.padEnd(widths[i] ?? 0)).join(' | ')} |`
}

/** A table of Markdown, its columns aligned as the formatter does it. @internal */
export function renderTable(head: readonly string[], rows: readonly (readonly string[])[]): string {
  const escaped = rows.map((row) => row.map((cell) => cell.replaceAll('|', '\\|')))
  const widths = head.map((title, i) =>
    Math.max(title.length, ...escaped.map((row) => row[i]?.length ?? 0)),
  )
  const rule = widths.map((width) => '-'.repeat(width))
  return [head, rule, ...escaped].map((row) => pad(row, widths)).join('\n')
}
