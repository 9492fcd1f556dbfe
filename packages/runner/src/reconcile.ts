import type {Instant, RunEnd, RunRef} from '#model';
import type {ExecutorEndedRun, ExecutorReport} from './executor.js';
import {completeProgress, isStalled, updateProgress} from './progress.js';
import {markStarted, type Run} from './run.js';
import type {ObservedWork} from './target-stats.js';

/** The runner's own runs, with which a report is compared. */
export interface KnownRuns {
  readonly find: (ref: RunRef) => Run | undefined;
  readonly list: () => readonly Run[];
}

export interface ReportContext {
  /** When the request was sent; the report is at least as recent. */
  readonly askedAt: Instant;
  readonly now: Instant;
  /** When the executor's lease expires. */
  readonly leaseExpiry: Instant;
  /** The long-term ratio of run time to callers' estimates at the executor. */
  readonly baselineSlowness: number;
}

/** What follows from an executor's report for the runner's runs. */
export interface Reconciliation {
  /** Runs that have ended, with their outcomes. */
  readonly ends: readonly (readonly [Run, RunEnd])[];
  /** Runs at the executor that the runner does not know or has not sent. */
  readonly orphans: readonly RunRef[];
  readonly stalled: readonly Run[];
  /** Work done by the runs since the last report. */
  readonly work: readonly ObservedWork[];
}

/** Compares the executor's report with the known runs and records their progress. */
export function compareReport(
  known: KnownRuns,
  {ended, running}: ExecutorReport,
  context: ReportContext,
): Reconciliation {
  const {now, baselineSlowness} = context;
  const ends = new Map<Run, RunEnd>();
  const work: ObservedWork[] = [];
  for (const row of ended) {
    const run = known.find(row.ref);
    if (run === undefined) continue;
    const end = interpretEnd(run, row);
    if (end === 'succeeded') work.push(completeProgress(run, now));
    ends.set(run, end);
  }
  const present = new Set<Run>();
  const orphans: RunRef[] = [];
  const stalled: Run[] = [];
  for (const {ref, percent} of running) {
    const run = known.find(ref);
    if (run === undefined || run.phase.kind === 'waiting') {
      orphans.push(ref);
      continue;
    }
    present.add(run);
    run.isListed = true;
    if (run.phase.kind === 'starting') markStarted(run, run.phase.sentAt);
    work.push(updateProgress(run, percent, now));
    if (isStalled(run, baselineSlowness, now)) stalled.push(run);
  }
  for (const run of known.list()) {
    if (present.has(run) || ends.has(run)) continue;
    const end = interpretAbsence(run, context);
    if (end !== undefined) ends.set(run, end);
  }
  return {ends: [...ends], orphans, stalled, work};
}

function interpretEnd({phase}: Run, {end}: ExecutorEndedRun): RunEnd {
  return phase.kind === 'stopping' && end === 'stopped' ? phase.end : end;
}

/**
 * Decides the outcome of a run that a report does not list: it is no longer at the executor when the
 * report is newer than the executor's last answer about it. Undefined while that is not certain.
 */
function interpretAbsence(
  {phase}: Run,
  {askedAt, leaseExpiry}: ReportContext,
): RunEnd | undefined {
  switch (phase.kind) {
    case 'waiting':
    case 'starting':
      return undefined;
    case 'running':
      return phase.confirmedAt < askedAt ? 'lapsed' : undefined;
    case 'stopping': {
      const {stoppedAt, end} = phase;
      const isStopConfirmed = stoppedAt !== undefined && stoppedAt < askedAt;
      return isStopConfirmed || leaseExpiry < askedAt ? end : undefined;
    }
  }
}
