import type {LogRecord} from './log-record.js';

/** A `run-ended` event; `at` is the time of its log line in ms since the Unix epoch. */
interface EndedRun {
  readonly at: number;
  /** `STEP.INDEX`. */
  readonly task: string;
  readonly run: number;
  readonly target: string;
  readonly end: string;
}

/** Explains the outcome of a request in sentences; empty when its acceptance or refusal was not logged. */
export function summarizeRequest(
  records: readonly LogRecord[],
  request: string,
): readonly string[] {
  const jobRecords = records.filter(({details}) => details.job === request);
  const refused = jobRecords.find(({event}) => event === 'job-refused');
  if (refused !== undefined) {
    return [`refused at once, cause ${String(refused.details.cause)}`];
  }
  const accepted = jobRecords.find(({event}) => event === 'job-accepted');
  if (accepted === undefined) return [];
  const acceptedAt = Date.parse(accepted.time);
  const runStarts = readRunStarts(records, request);
  const ends = jobRecords
    .filter(({event}) => event === 'run-ended')
    .map(readEndedRun);
  return [
    describeOutcome(jobRecords, acceptedAt, Number(accepted.details.dueMs)),
    describeFirstRun([...runStarts.values()], acceptedAt),
    ...describeLastTask(ends, runStarts, acceptedAt),
    ...describeUnstartedRuns(ends),
    ...describeFailedRuns(ends),
  ];
}

/** Returns the start times of runs in ms since the Unix epoch, keyed by `STEP.INDEX#RUN`. */
function readRunStarts(
  records: readonly LogRecord[],
  request: string,
): ReadonlyMap<string, number> {
  const runStarts = new Map<string, number>();
  for (const {event, time, details} of records) {
    const {run} = details;
    if (event !== 'run-begun' || typeof run !== 'string') continue;
    if (!run.startsWith(`${request}.`)) continue;
    runStarts.set(run.slice(request.length + 1), Date.parse(time));
  }
  return runStarts;
}

function readEndedRun({time, details}: LogRecord): EndedRun {
  const {step, index, run, target, end} = details;
  return {
    at: Date.parse(time),
    task: `${String(step)}.${String(index)}`,
    run: Number(run),
    target: String(target),
    end: String(end),
  };
}

function describeOutcome(
  jobRecords: readonly LogRecord[],
  acceptedAt: number,
  dueMs: number,
): string {
  const ended = jobRecords.find(({event}) => event === 'job-ended');
  if (ended === undefined) return 'accepted, no end is told';
  const durationMs = Date.parse(ended.time) - acceptedAt;
  const outcome = `${String(ended.details.outcome)} ${durationMs} ms after its acceptance`;
  if (Number.isNaN(dueMs)) return outcome;
  const lateMs = durationMs - dueMs;
  const timing = lateMs > 0 ? `late by ${lateMs} ms` : 'in time';
  return `${outcome}, due after ${dueMs} ms: ${timing}`;
}

function describeFirstRun(
  startTimes: readonly number[],
  acceptedAt: number,
): string {
  if (startTimes.length === 0) return 'no run of it began';
  return `its first run began after ${Math.min(...startTimes) - acceptedAt} ms`;
}

/** The task that succeeded last determines when the caller gets the answer. */
function describeLastTask(
  ends: readonly EndedRun[],
  runStarts: ReadonlyMap<string, number>,
  acceptedAt: number,
): readonly string[] {
  const last = ends.findLast(({end}) => end === 'succeeded');
  if (last === undefined) return [];
  const startTime = runStarts.get(`${last.task}#${last.run}`);
  if (startTime === undefined) return [];
  return [
    `its last task, ${last.task}, began after ${startTime - acceptedAt} ms as run ${last.run} and took ${last.at - startTime} ms at ${last.target}`,
  ];
}

function describeUnstartedRuns(ends: readonly EndedRun[]): readonly string[] {
  const unstarted = ends.filter(({end}) => end === 'not-run');
  if (unstarted.length === 0) return [];
  const targets = new Set(unstarted.map(({target}) => target));
  return [
    `${unstarted.length} runs came back from ${targets.size} targets without having begun`,
  ];
}

function describeFailedRuns(ends: readonly EndedRun[]): readonly string[] {
  return ends
    .filter(({end}) => end !== 'succeeded' && end !== 'not-run')
    .map(
      ({task, run, end, target}) =>
        `run ${run} of task ${task} ended as ${end} at ${target}`,
    );
}
