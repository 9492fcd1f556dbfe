import type {RunOutcome} from './target.js';

const maxDetailLength = 500;

/** Interprets a target's response to a task: 200 with a result, or an error. */
export function interpretResponse(status: number, body: Buffer): RunOutcome {
  const response = parseObject(body);
  if (status !== 200) {
    const detail = response?.['error'] ?? body.toString('utf8');
    return {
      kind: 'failed',
      detail: `target answered ${status}: ${String(detail).slice(0, maxDetailLength)}`,
    };
  }
  if (response === undefined || !('result' in response)) {
    return {
      kind: 'failed',
      detail: 'target answered 200 without a JSON object that has "result"',
    };
  }
  return {kind: 'succeeded', result: response['result'], bytes: body.length};
}

/** Parses a JSON object; undefined when the bytes are anything else. */
export function parseObject(
  body: Buffer,
): Readonly<Record<string, unknown>> | undefined {
  try {
    const value: unknown = JSON.parse(body.toString('utf8'));
    if (typeof value !== 'object' || value === null) return undefined;
    return value as Record<string, unknown>;
  } catch {
    return undefined;
  }
}
