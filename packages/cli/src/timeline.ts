import type {LogRecord} from './log-record.js';
import {summarizeRequest} from './request-summary.js';

/** The logged history of one request. */
export interface RequestTimeline {
  /** Lines that name the request, and context events of the processes and targets involved, by time. */
  readonly records: readonly LogRecord[];
  /** Sentences that explain the outcome. */
  readonly summary: readonly string[];
  /** Expected events that are missing from the logs. */
  readonly gaps: readonly string[];
}

/** Events that name no request but may explain what happened to one at that time. */
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
/** Context events are included up to this long before the first and after the last line of the request. */
const contextMarginMs = 250;

/** Builds the timeline of a request from the records of all processes. */
export function buildTimeline(
  records: readonly LogRecord[],
  request: string,
): RequestTimeline {
  const requestRecords = records.filter(record =>
    isForRequest(record, request),
  );
  if (requestRecords.length === 0) {
    return {records: [], summary: [], gaps: [`no line names "${request}"`]};
  }
  const times = requestRecords.map(({time}) => Date.parse(time));
  const from = Math.min(...times) - contextMarginMs;
  const until = Math.max(...times) + contextMarginMs;
  const participants = new Set(requestRecords.flatMap(listParticipants));
  const context = records.filter(record => {
    const at = Date.parse(record.time);
    const isParticipant = listParticipants(record).some(name =>
      participants.has(name),
    );
    return (
      contextEvents.has(record.event) &&
      isParticipant &&
      at >= from &&
      at <= until
    );
  });
  const all = [...new Set([...requestRecords, ...context])].sort((a, b) =>
    a.time < b.time ? -1 : 1,
  );
  return {
    records: all,
    summary: summarizeRequest(all, request),
    gaps: findGaps(requestRecords),
  };
}

/** Renders one line per record, with the time since the first one, then the gaps and the summary. */
export function renderTimeline({
  records,
  summary,
  gaps,
}: RequestTimeline): string {
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

function isForRequest({details}: LogRecord, request: string): boolean {
  const {job, run} = details;
  return (
    job === request ||
    (typeof run === 'string' && run.startsWith(`${request}.`)) ||
    (typeof details.path === 'string' && details.path.endsWith(request))
  );
}

function listParticipants({id, details}: LogRecord): readonly string[] {
  const {target, dispatcher, owner} = details;
  return [id, target, dispatcher, owner].filter(
    (name): name is string => typeof name === 'string',
  );
}

function findGaps(requestRecords: readonly LogRecord[]): readonly string[] {
  const events = new Set(requestRecords.map(({event}) => event));
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
