/** Renders a table with each column padded to its widest cell. */
export function renderTable(
  headers: readonly string[],
  rows: ReadonlyArray<readonly (string | number | boolean)[]>,
): string {
  const cells = [headers, ...rows.map(row => row.map(String))];
  const widths = headers.map((_, column) =>
    Math.max(...cells.map(row => (row[column] ?? '').length)),
  );
  return cells
    .map(row =>
      row
        .map((cell, column) => cell.padEnd(widths[column]!))
        .join('  ')
        .trimEnd(),
    )
    .join('\n');
}
