import type {Instant, RunEnd, RunRef} from '#model';
import type {EndedRow, ExecutorReport} from './executor.js';
import {completeProgress, isStalled, updateProgress} from './progress.js';
import {markStarted, type Run} from './run.js';
import type {ObservedWork} from './track-record.js';

/** The runs that a report is compared with. */
export interface KnownRuns {
  readonly find: (ref: RunRef) => Run | undefined;
  readonly list: () => readonly Run[];
}

export interface ReportMoment {
  /** When the question left: the report is no older. */
  readonly askedAt: Instant;
  readonly now: Instant;
  /** When everything that was sent to the executor has lapsed. */
  readonly leaseExpiry: Instant;
  /** The executor's usual run time over callers' estimates. */
  readonly usualSlowness: number;
}

/** What a report of the executor means for the runs known here. */
export interface Reconciliation {
  /** Runs that are over, and how. */
  readonly ends: readonly (readonly [Run, RunEnd])[];
  /** Runs at the executor that nobody here knows. */
  readonly strays: readonly RunRef[];
  readonly stalled: readonly Run[];
  /** Work that the runs have done since the last report. */
  readonly work: readonly ObservedWork[];
}

/** Compares the executor's lists with the known runs and notes their progress. */
export function compareReport(
  known: KnownRuns,
  {ended, running}: ExecutorReport,
  moment: ReportMoment,
): Reconciliation {
  const {now, usualSlowness} = moment;
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
  const strays: RunRef[] = [];
  const stalled: Run[] = [];
  for (const {ref, percent} of running) {
    const run = known.find(ref);
    if (run === undefined || run.phase.kind === 'waiting') {
      strays.push(ref);
      continue;
    }
    present.add(run);
    if (run.phase.kind === 'starting') markStarted(run, run.phase.sentAt);
    work.push(updateProgress(run, percent, now));
    if (isStalled(run, usualSlowness, now)) stalled.push(run);
  }
  for (const run of known.list()) {
    if (present.has(run) || ends.has(run)) continue;
    const end = judgeAbsent(run, moment);
    if (end !== undefined) ends.set(run, end);
  }
  return {ends: [...ends], strays, stalled, work};
}

function interpretEnd({phase}: Run, {end}: EndedRow): RunEnd {
  return phase.kind === 'stopping' && end === 'stopped' ? phase.end : end;
}

/** A run that a report of later than its last answer does not list is not there. */
function judgeAbsent(
  {phase}: Run,
  {askedAt, leaseExpiry}: ReportMoment,
): RunEnd | undefined {
  switch (phase.kind) {
    case 'waiting':
    case 'starting':
      return undefined;
    case 'running':
      return phase.confirmedAt < askedAt ? 'lapsed' : undefined;
    case 'stopping': {
      const {stoppedAt, end} = phase;
      const isVoid = stoppedAt !== undefined && stoppedAt < askedAt;
      return isVoid || leaseExpiry < askedAt ? end : undefined;
    }
  }
}
