import {failUnreachable} from '#model';
import type {Attempt, JobRecord, Outcome} from './caller.js';
import type {JournalLine} from './journal.js';
import {buildEcho} from './load.js';

/** The outcomes of a run, counted in jobs except for `doubled`, which counts tasks. */
export interface OutcomeCounts {
  readonly jobs: number;
  readonly complete: number;
  readonly failed: number;
  readonly unknown: number;
  readonly refused: number;
  /** Jobs with an unanswered submission and no answer but refusals. */
  readonly unanswered: number;
  /** Tasks that started more than once. */
  readonly doubled: number;
  /** Jobs with a complete answer that isn't one correct result per task, in order. */
  readonly partial: number;
  /** Jobs with a complete answer although some task never started. */
  readonly unstarted: number;
  /** Jobs that were reported as not run although they did run. */
  readonly wronglyNotRun: number;
  /** Jobs with both a complete and a failed answer. */
  readonly contradicted: number;
  /** The jobs and tasks that violate a guarantee; at most 20 are listed. */
  readonly violations: readonly string[];
}

const maxViolations = 20;

/** Compares the callers' records with the task starts that the targets recorded. */
export function countOutcomes(
  journal: readonly JournalLine[],
  records: readonly JobRecord[],
): OutcomeCounts {
  const starts = countStarts(journal);
  const violations: string[] = [];
  const count = (name: string, holds: (record: JobRecord) => boolean) => {
    const found = records.filter(holds);
    violations.push(...found.map(({plan}) => `${name}: job ${plan.key}`));
    return found.length;
  };
  const finals = records.map(findFinalOutcome);
  const countFinal = (kind: Outcome['kind']) =>
    finals.filter(outcome => outcome.kind === kind).length;
  const doubled = [...starts].filter(([, times]) => times > 1);
  violations.push(
    ...doubled.map(([task, times]) => `doubled: ${task} ×${times}`),
  );
  return {
    jobs: records.length,
    complete: countFinal('complete'),
    failed: countFinal('failed'),
    unknown: countFinal('unknown'),
    refused: countFinal('not-run'),
    unanswered: countFinal('unanswered'),
    doubled: doubled.length,
    partial: count('partial', hasPartialAnswer),
    unstarted: count('unstarted', record => hasUnstarted(record, starts)),
    wronglyNotRun: count('wrongly not run', record =>
      isWronglyNotRun(record, starts),
    ),
    contradicted: count('contradicted', hasContradiction),
    violations: violations.slice(0, maxViolations),
  };
}

/** Whether no guarantee is violated. Failed, unknown, refused and unanswered jobs violate none. */
export function hasNoViolations(counts: OutcomeCounts): boolean {
  const broken =
    counts.doubled +
    counts.partial +
    counts.unstarted +
    counts.wronglyNotRun +
    counts.contradicted;
  return broken === 0;
}

/** Returns a job's most conclusive outcome: a complete answer first, a refusal last. */
export function findFinalOutcome(record: JobRecord): Outcome {
  const outcomes = record.attempts.map(attempt => attempt.outcome);
  for (const kind of outcomePrecedence) {
    const found = outcomes.find(outcome => outcome.kind === kind);
    if (found !== undefined) return found;
  }
  return {kind: 'unanswered', detail: 'never submitted'};
}

const outcomePrecedence = [
  'complete',
  'failed',
  'unknown',
  'unanswered',
  'not-run',
] as const;

type StartCounts = ReadonlyMap<string, number>;

function countStarts(journal: readonly JournalLine[]): StartCounts {
  const counts = new Map<string, number>();
  for (const {job, task} of journal) {
    const name = `${job}.${task}`;
    counts.set(name, (counts.get(name) ?? 0) + 1);
  }
  return counts;
}

function hasPartialAnswer({plan, attempts}: JobRecord): boolean {
  return attempts.some(({outcome}) => {
    if (outcome.kind !== 'complete') return false;
    const {results} = outcome;
    if (results.length !== plan.tasks.length) return true;
    return results.some(
      (result, i) =>
        (result as {readonly echo?: unknown} | null)?.echo !==
        buildEcho(plan.key, i),
    );
  });
}

function hasUnstarted(
  {plan, attempts}: JobRecord,
  starts: StartCounts,
): boolean {
  if (!attempts.some(({outcome}) => outcome.kind === 'complete')) return false;
  return plan.tasks.some((_, i) => !starts.has(`${plan.job}.${i}`));
}

function isWronglyNotRun(record: JobRecord, starts: StartCounts): boolean {
  const {plan, attempts} = record;
  const refusals = attempts.filter(({outcome}) => outcome.kind === 'not-run');
  if (refusals.some(refusal => isAfterCompletion(refusal, attempts)))
    return true;
  if (refusals.length < attempts.length || attempts.length === 0) return false;
  return plan.tasks.some((_, i) => starts.has(`${plan.job}.${i}`));
}

function isAfterCompletion(
  refusal: Attempt,
  attempts: readonly Attempt[],
): boolean {
  return attempts.some(
    ({outcome, endedAt}) =>
      outcome.kind === 'complete' && endedAt <= refusal.startedAt,
  );
}

function hasContradiction({attempts}: JobRecord): boolean {
  const kinds = new Set(attempts.map(({outcome}) => outcome.kind));
  return kinds.has('complete') && kinds.has('failed');
}

/** Counts the submissions by outcome and reason, as `kind: reason`. */
export function countReasons(
  records: readonly JobRecord[],
): ReadonlyMap<string, number> {
  const counts = new Map<string, number>();
  for (const {outcome} of records.flatMap(({attempts}) => attempts)) {
    const name = describeOutcome(outcome);
    counts.set(name, (counts.get(name) ?? 0) + 1);
  }
  return counts;
}

function describeOutcome(outcome: Outcome): string {
  switch (outcome.kind) {
    case 'complete':
      return 'complete';
    case 'failed':
    case 'unknown':
    case 'not-run':
      return `${outcome.kind}: ${outcome.reason}`;
    case 'unanswered':
      return `unanswered: ${outcome.detail}`;
    default:
      return failUnreachable(outcome);
  }
}
