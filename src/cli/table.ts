/**
 * Lays out rows for a terminal.
 */

/**
 * Pads the cells of each column to the same width.
 *
 * @param rows the heading and the rows below it
 */
export function formatTable(rows: readonly (readonly string[])[]): string {
  const widths: number[] = [];
  for (const row of rows) {
    for (const [column, cell] of row.entries()) {
      widths[column] = Math.max(widths[column] ?? 0, cell.length);
    }
  }
  const lines: string[] = [];
  for (const row of rows) {
    const cells = row.map((cell, column) => cell.padEnd(widths[column] ?? 0));
    lines.push(cells.join('  ').trimEnd());
  }
  return lines.join('\n');
}
