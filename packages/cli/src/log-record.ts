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

/** What every line has; the rest are its details. */
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
