import type {HistogramSummary} from '#telemetry';

/** Conditions under which the following rows were measured. */
export interface RunRow {
  readonly kind: 'run';
  readonly seed: number;
  readonly repeats: number;
  readonly startedAt: string;
  readonly processors: number;
  /** One-minute load average of the machine at the start. */
  readonly loadAverage: number;
}

/** Results of one load under one placement policy. */
export interface PlacementRow {
  readonly kind: 'placement';
  readonly policy: string;
  /** Offered work as a fraction of the targets' capacity. */
  readonly load: number;
  readonly seed: number;
  readonly jobs: number;
  readonly complete: number;
  /** Response time minus the ideal one, in ms. */
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

/** The process that a recovery experiment kills. */
export type Victim = 'agent' | 'entry' | 'control leader';

/** Throughput seen by callers while a process is killed and restarted. */
export interface RecoveryRow {
  readonly kind: 'recovery';
  readonly victim: Victim;
  readonly seed: number;
  readonly killedAtMs: number;
  readonly restartedAtMs: number;
  readonly binMs: number;
  /** Tasks per second of complete jobs answered to their callers, for each bin. */
  readonly finished: readonly number[];
  readonly jobs: number;
  readonly complete: number;
  readonly unknown: number;
  readonly loadAverage: number;
}

/** An experiment that failed without a result. */
export interface FailureRow {
  readonly kind: 'failure';
  readonly experiment: string;
  readonly detail: string;
}

/** One line of a report's JSON Lines file. */
export type ReportRow =
  RunRow | PlacementRow | HistogramRow | RecoveryRow | FailureRow;

/** Formats rows as JSON Lines. */
export function formatRows(rows: readonly ReportRow[]): string {
  return rows.map(row => `${JSON.stringify(row)}\n`).join('');
}

/** Parses the JSON Lines that `formatRows` writes. */
export function parseRows(text: string): readonly ReportRow[] {
  const lines = text.split('\n').filter(line => line !== '');
  return lines.map(line => JSON.parse(line) as ReportRow);
}

/** Returns the rows of one kind. */
export function filterRows<Kind extends ReportRow['kind']>(
  rows: readonly ReportRow[],
  kind: Kind,
): readonly Extract<ReportRow, {kind: Kind}>[] {
  return rows.filter(
    (row): row is Extract<ReportRow, {kind: Kind}> => row.kind === kind,
  );
}
