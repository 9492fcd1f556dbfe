import {appendFileSync, mkdirSync, readFileSync, writeFileSync} from 'node:fs';
import {join} from 'node:path';
import {renderPage} from './report-page.js';
import {formatRows, parseRows, type ReportRow} from './report-row.js';
import {runReport} from './report-run.js';

export interface ReportCommand {
  readonly seed: number;
  readonly repeats: number;
  /** Output folder for `report.html` and `report.jsonl`. */
  readonly folder: string;
  /** JSON Lines file of an earlier run to render instead of measuring. */
  readonly from: string | undefined;
}

/** Measures or reads the rows of a report and writes its HTML page. */
export async function writeReport({
  seed,
  repeats,
  folder,
  from,
}: ReportCommand): Promise<void> {
  mkdirSync(folder, {recursive: true});
  const rows =
    from === undefined
      ? await measureRows(seed, repeats, join(folder, 'report.jsonl'))
      : parseRows(readFileSync(from, 'utf8'));
  const page = join(folder, 'report.html');
  writeFileSync(page, renderPage(rows));
  console.log(page);
}

/** Runs the experiments; appends each row to the file before the next one is measured. */
async function measureRows(
  seed: number,
  repeats: number,
  path: string,
): Promise<readonly ReportRow[]> {
  const rows: ReportRow[] = [];
  writeFileSync(path, '');
  await runReport({
    seed,
    repeats,
    onRow: row => {
      rows.push(row);
      appendFileSync(path, formatRows([row]));
      console.error(formatRows([row]).trim());
    },
  });
  return rows;
}
