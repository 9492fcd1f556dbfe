/** Formats rows as a table of aligned columns; the first row is the heading. */
export function formatTable(
  rows: readonly (readonly (string | number)[])[],
): string {
  const texts = rows.map(row => row.map(formatCell));
  const widths = texts[0]!.map((_, column) =>
    Math.max(...texts.map(row => row[column]!.length)),
  );
  return texts
    .map(row =>
      row
        .map((cell, column) =>
          column === 0
            ? cell.padEnd(widths[column]!)
            : cell.padStart(widths[column]!),
        )
        .join('  '),
    )
    .join('\n');
}

function formatCell(cell: string | number): string {
  if (typeof cell === 'string') return cell;
  return Number.isInteger(cell) ? String(cell) : cell.toFixed(2);
}
