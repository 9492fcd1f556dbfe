import type {LogRecord} from './record.js';

/** What a run's end tells, with the time of its line in ms since 1970. */
interface EndedRun {
  readonly at: number;
  /** `STEP.INDEX`. */
  readonly task: string;
  readonly run: number;
  readonly target: string;
  readonly end: string;
}

/** Summarizes what made a request's answer as it is, in sentences; empty where no line tells of its acceptance. */
export function summarizeStory(
  records: readonly LogRecord[],
  request: string,
): readonly string[] {
  const own = records.filter(({details}) => details.job === request);
  const refused = own.find(({event}) => event === 'job-refused');
  if (refused !== undefined) {
    return [`refused at once, cause ${String(refused.details.cause)}`];
  }
  const accepted = own.find(({event}) => event === 'job-accepted');
  if (accepted === undefined) return [];
  const acceptedAt = Date.parse(accepted.time);
  const begun = readBegun(records, request);
  const ends = own.filter(({event}) => event === 'run-ended').map(readEnd);
  return [
    describeAnswer(own, acceptedAt, Number(accepted.details.dueMs)),
    describeBegin([...begun.values()], acceptedAt),
    ...describeLast(ends, begun, acceptedAt),
    ...describeReturns(ends),
    ...describeFailures(ends),
  ];
}

/** When runs began, by `STEP.INDEX#RUN`. */
function readBegun(
  records: readonly LogRecord[],
  request: string,
): ReadonlyMap<string, number> {
  const begun = new Map<string, number>();
  for (const {event, time, details} of records) {
    const {run} = details;
    if (event !== 'run-begun' || typeof run !== 'string') continue;
    if (!run.startsWith(`${request}.`)) continue;
    begun.set(run.slice(request.length + 1), Date.parse(time));
  }
  return begun;
}

function readEnd({time, details}: LogRecord): EndedRun {
  const {step, index, run, target, end} = details;
  return {
    at: Date.parse(time),
    task: `${String(step)}.${String(index)}`,
    run: Number(run),
    target: String(target),
    end: String(end),
  };
}

function describeAnswer(
  own: readonly LogRecord[],
  acceptedAt: number,
  dueMs: number,
): string {
  const ended = own.find(({event}) => event === 'job-ended');
  if (ended === undefined) return 'accepted, no end is told';
  const tookMs = Date.parse(ended.time) - acceptedAt;
  const answer = `${String(ended.details.outcome)} ${tookMs} ms after its acceptance`;
  if (Number.isNaN(dueMs)) return answer;
  const lateMs = tookMs - dueMs;
  const timing = lateMs > 0 ? `late by ${lateMs} ms` : 'in time';
  return `${answer}, due after ${dueMs} ms: ${timing}`;
}

function describeBegin(begun: readonly number[], acceptedAt: number): string {
  if (begun.length === 0) return 'no run of it began';
  return `its first run began after ${Math.min(...begun) - acceptedAt} ms`;
}

/** The task that ended last is the one that its callers waited for. */
function describeLast(
  ends: readonly EndedRun[],
  begun: ReadonlyMap<string, number>,
  acceptedAt: number,
): readonly string[] {
  const last = ends.findLast(({end}) => end === 'succeeded');
  if (last === undefined) return [];
  const beganAt = begun.get(`${last.task}#${last.run}`);
  if (beganAt === undefined) return [];
  return [
    `its last task, ${last.task}, began after ${beganAt - acceptedAt} ms as run ${last.run} and took ${last.at - beganAt} ms at ${last.target}`,
  ];
}

function describeReturns(ends: readonly EndedRun[]): readonly string[] {
  const returned = ends.filter(({end}) => end === 'not-run');
  if (returned.length === 0) return [];
  const targets = new Set(returned.map(({target}) => target));
  return [
    `${returned.length} runs came back from ${targets.size} targets without having begun`,
  ];
}

function describeFailures(ends: readonly EndedRun[]): readonly string[] {
  return ends
    .filter(({end}) => end !== 'succeeded' && end !== 'not-run')
    .map(
      ({task, run, end, target}) =>
        `run ${run} of task ${task} ended as ${end} at ${target}`,
    );
}
