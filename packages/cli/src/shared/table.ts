/** Plain-text tables. */

export type Cell = string | number

/** Formats a table. Columns are as wide as their widest cell; columns of numbers are right-aligned. */
export function formatTable (head: readonly string[], rows: ReadonlyArray<readonly Cell[]>): string {
  const texts = [head, ...rows.map(row => row.map(cell => typeof cell === 'number' ? cell.toLocaleString('en') : cell))]
  const widths = head.map((_, column) => Math.max(...texts.map(row => row[column]?.length ?? 0)))
  const isNumeric = head.map((_, column) => rows.length > 0 && rows.every(row => typeof row[column] === 'number'))
  return texts.map(row => row.map((text, column) => {
    const width = widths[column] ?? 0
    return isNumeric[column] === true ? text.padStart(width) : text.padEnd(width)
  }).join('  ').trimEnd()).join('\n')
}
