/** A parsed log line of any process. */
export interface LogRecord {
  /** ISO 8601. */
  readonly time: string;
  readonly role: string;
  readonly id: string;
  readonly event: string;
  readonly msg: string;
  /** All other fields of the line. */
  readonly details: Readonly<Record<string, unknown>>;
}

/** Fields that are not part of `details`. */
const standardFields = new Set([
  'level',
  'time',
  'role',
  'id',
  'event',
  'msg',
  'pid',
]);

/** Parses a log line, ignoring any prefix before the first brace; undefined when it is no log record. */
export function parseLogLine(line: string): LogRecord | undefined {
  const jsonStart = line.indexOf('{');
  if (jsonStart === -1) return undefined;
  try {
    const fields = JSON.parse(line.slice(jsonStart)) as Record<string, unknown>;
    const {time, role, id, event, msg} = fields;
    if (typeof time !== 'string' || typeof event !== 'string') return undefined;
    const details = Object.entries(fields).filter(
      ([key]) => !standardFields.has(key),
    );
    return {
      time,
      role: String(role),
      id: String(id),
      event,
      msg: String(msg ?? ''),
      details: Object.fromEntries(details),
    };
  } catch {
    // Invalid JSON, such as a line truncated while it was being written.
    return undefined;
  }
}
