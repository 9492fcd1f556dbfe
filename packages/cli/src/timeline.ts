import type {LogRecord} from './record.js';
import {summarizeStory} from './summary.js';

/** What the logs tell of one request. */
export interface Story {
  /** Lines that name the request, and lines of its processes and targets in its time, by time. */
  readonly records: readonly LogRecord[];
  /** What made the answer as it is. */
  readonly summary: readonly string[];
  /** What a reader should know that is not there. */
  readonly gaps: readonly string[];
}

/** Events without a request that explain what happened to the requests of their time. */
const contextEvents = new Set([
  'configured',
  'dispatcher-silent',
  'epoch-ended',
  'executor-life',
  'executor-lost',
  'log-dropped',
  'runner-attached',
  'runner-lost',
  'runs-lost',
  'runs-moved',
  'signal',
  'start',
]);
/** Lines this long before the first and after the last that name the request belong to its story, in ms. */
const marginMs = 250;
/** Collects what records tell of a request, from all processes. */
export function collectStory(
  records: readonly LogRecord[],
  request: string,
): Story {
  const naming = records.filter(record => isAbout(record, request));
  if (naming.length === 0) {
    return {records: [], summary: [], gaps: [`no line names "${request}"`]};
  }
  const times = naming.map(({time}) => Date.parse(time));
  const from = Math.min(...times) - marginMs;
  const until = Math.max(...times) + marginMs;
  const involved = new Set(naming.flatMap(listInvolved));
  const around = records.filter(record => {
    const at = Date.parse(record.time);
    const isInvolved = listInvolved(record).some(name => involved.has(name));
    return (
      contextEvents.has(record.event) && isInvolved && at >= from && at <= until
    );
  });
  const all = [...new Set([...naming, ...around])].sort((a, b) =>
    a.time < b.time ? -1 : 1,
  );
  return {
    records: all,
    summary: summarizeStory(all, request),
    gaps: findGaps(naming),
  };
}

/** Renders a story, a line a record, with the time since the first; its summary comes last. */
export function renderStory({records, summary, gaps}: Story): string {
  const first = records[0];
  const lines = records.map(record => {
    const sinceMs = Date.parse(record.time) - Date.parse(first!.time);
    const details = Object.entries(record.details)
      .map(([key, value]) => `${key}=${JSON.stringify(value)}`)
      .join(' ');
    const source = `${record.role} ${record.id}`;
    return `+${sinceMs} ms  ${source}  ${record.event}: ${record.msg}  ${details}`;
  });
  return [
    ...lines,
    ...gaps.map(gap => `missing: ${gap}`),
    ...summary.map(sentence => `in short: ${sentence}`),
  ].join('\n');
}

function isAbout({details}: LogRecord, request: string): boolean {
  const {job, run} = details;
  return (
    job === request ||
    (typeof run === 'string' && run.startsWith(`${request}.`)) ||
    (typeof details.path === 'string' && details.path.endsWith(request))
  );
}

function listInvolved({id, details}: LogRecord): readonly string[] {
  const {target, dispatcher, owner} = details;
  return [id, target, dispatcher, owner].filter(
    (name): name is string => typeof name === 'string',
  );
}

function findGaps(naming: readonly LogRecord[]): readonly string[] {
  const events = new Set(naming.map(({event}) => event));
  const gaps: string[] = [];
  const isAccepted = events.has('job-accepted');
  if (!isAccepted && !events.has('job-refused')) {
    gaps.push('no entry tells of its acceptance or refusal');
  }
  if (isAccepted && !events.has('job-ended')) {
    gaps.push('no end: its entry stopped, or its log does not reach so far');
  }
  if (events.has('runs-placed') && !events.has('run-begun')) {
    gaps.push("no run begins: the agents' logs are missing, or below debug");
  }
  return gaps;
}
