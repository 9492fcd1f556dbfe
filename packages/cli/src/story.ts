/** A log line of any process, decoded. */
export interface LogRecord {
  /** ISO 8601. */
  readonly time: string;
  readonly role: string;
  readonly id: string;
  readonly event: string;
  readonly msg: string;
  /** What the event says besides. */
  readonly details: Readonly<Record<string, unknown>>;
}

/** What the logs tell of one request. */
export interface Story {
  /** Lines that name the request, and lines of its processes and targets in its time, by time. */
  readonly records: readonly LogRecord[];
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
const ownKeys = new Set(['level', 'time', 'role', 'id', 'event', 'msg', 'pid']);

/** Decodes a log line; what stands before its first brace is passed over. Undefined for other text. */
export function decodeLine(line: string): LogRecord | undefined {
  const begin = line.indexOf('{');
  if (begin === -1) return undefined;
  try {
    const fields = JSON.parse(line.slice(begin)) as Record<string, unknown>;
    const {time, role, id, event, msg} = fields;
    if (typeof time !== 'string' || typeof event !== 'string') return undefined;
    const details = Object.entries(fields).filter(([key]) => !ownKeys.has(key));
    return {
      time,
      role: String(role),
      id: String(id),
      event,
      msg: String(msg ?? ''),
      details: Object.fromEntries(details),
    };
  } catch {
    // A line that was cut off while it was written is no record.
    return undefined;
  }
}

/** Collects what records tell of a request, from all processes. */
export function collectStory(
  records: readonly LogRecord[],
  request: string,
): Story {
  const naming = records.filter(record => isAbout(record, request));
  if (naming.length === 0) {
    return {records: [], gaps: [`no line names "${request}"`]};
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
  return {records: all, gaps: findGaps(naming)};
}

/** Renders a story, a line a record, with the time since the first. */
export function renderStory({records, gaps}: Story): string {
  const first = records[0];
  const lines = records.map(record => {
    const sinceMs = Date.parse(record.time) - Date.parse(first!.time);
    const details = Object.entries(record.details)
      .map(([key, value]) => `${key}=${JSON.stringify(value)}`)
      .join(' ');
    const source = `${record.role} ${record.id}`;
    return `+${sinceMs} ms  ${source}  ${record.event}: ${record.msg}  ${details}`;
  });
  return [...lines, ...gaps.map(gap => `missing: ${gap}`)].join('\n');
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
