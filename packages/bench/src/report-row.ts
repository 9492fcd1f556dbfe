import type {HistogramSummary} from '#telemetry';

/** Where and when the rows that follow were measured. */
export interface RunRow {
  readonly kind: 'run';
  readonly seed: number;
  readonly repeats: number;
  readonly startedAt: string;
  readonly processors: number;
  /** Processes that were ready to run, as a mean over the minute before. */
  readonly loadAverage: number;
}

/** One load under one placement policy. */
export interface PlacementRow {
  readonly kind: 'placement';
  readonly policy: string;
  /** Offered work as a share of what the targets can do. */
  readonly load: number;
  readonly seed: number;
  readonly jobs: number;
  readonly complete: number;
  /** Response time over the ideal, in ms. */
  readonly p50Ms: number;
  readonly p99Ms: number;
  readonly wastedPerJob: number;
  readonly loadAverage: number;
}

/** A histogram of one entry, since its start. */
export interface HistogramRow {
  readonly kind: 'histogram';
  readonly entry: string;
  readonly summary: HistogramSummary;
}

/** What a recovery timeline kills. */
export type Victim = 'agent' | 'entry' | 'control leader';

/** What callers received while a process was killed and started again. */
export interface RecoveryRow {
  readonly kind: 'recovery';
  readonly victim: Victim;
  readonly seed: number;
  readonly killedAtMs: number;
  readonly restartedAtMs: number;
  readonly binMs: number;
  /** Tasks a second of whole answers that reached their callers, one number a bin. */
  readonly finished: readonly number[];
  readonly jobs: number;
  readonly complete: number;
  readonly unknown: number;
  readonly loadAverage: number;
}

/** An experiment that came to no result. */
export interface FailureRow {
  readonly kind: 'failure';
  readonly experiment: string;
  readonly detail: string;
}

/** One line of a report's data. */
export type ReportRow =
  RunRow | PlacementRow | HistogramRow | RecoveryRow | FailureRow;

/** Formats rows as JSON lines. */
export function formatRows(rows: readonly ReportRow[]): string {
  return rows.map(row => `${JSON.stringify(row)}\n`).join('');
}

/** Reads JSON lines that `formatRows` wrote. */
export function parseRows(text: string): readonly ReportRow[] {
  const lines = text.split('\n').filter(line => line !== '');
  return lines.map(line => JSON.parse(line) as ReportRow);
}

/** Filters the rows of one kind. */
export function filterRows<Kind extends ReportRow['kind']>(
  rows: readonly ReportRow[],
  kind: Kind,
): readonly Extract<ReportRow, {kind: Kind}>[] {
  return rows.filter(
    (row): row is Extract<ReportRow, {kind: Kind}> => row.kind === kind,
  );
}
