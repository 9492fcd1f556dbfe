import {failUnreachable, type JobAnswer, type NotRunReason} from '#model';

/** The HTTP form of an answer. */
export interface HttpAnswer {
  readonly status: number;
  readonly retryAfterMs: number;
  readonly body: unknown;
}

/** Maps the reason of a refusal to an HTTP status. */
export function getRefusalStatus(reason: NotRunReason): number {
  switch (reason) {
    case 'bad-request':
    case 'too-many-tasks':
      return 400;
    case 'unknown-team':
      return 403;
    case 'unknown-service':
      return 404;
    case 'key-reused':
      return 409;
    case 'body-too-large':
      return 413;
    case 'can-never-run':
    case 'deadline-unreachable':
      return 422;
    case 'team-over-quota':
      return 429;
    case 'overloaded':
    case 'draining':
    case 'no-targets':
      return 503;
    default:
      return failUnreachable(reason);
  }
}

/**
 * Formats an answer for a caller. `complete` maps to 200 and `failed` to 500. A
 * job whose outcome cannot be determined is reported as `failed` with the reason
 * `unknown` and status 504. A refusal has the status of its reason.
 */
export function formatAnswer(answer: JobAnswer): HttpAnswer {
  switch (answer.kind) {
    case 'complete':
      return {
        status: 200,
        retryAfterMs: 0,
        body: {job: answer.job, status: 'complete', results: answer.results},
      };
    case 'failed':
      return {
        status: 500,
        retryAfterMs: 0,
        body: {
          job: answer.job,
          status: 'failed',
          reason: answer.reason,
          detail: answer.detail,
        },
      };
    case 'unknown':
      return {
        status: 504,
        retryAfterMs: 0,
        body: {
          job: answer.job,
          status: 'failed',
          reason: 'unknown',
          cause: answer.reason,
          detail: answer.detail,
        },
      };
    case 'not-run':
      return {
        status: getRefusalStatus(answer.reason),
        retryAfterMs: answer.retryAfterMs,
        body: {
          job: answer.job,
          status: 'not-run',
          reason: answer.reason,
          detail: answer.detail,
          retryAfterMs: answer.retryAfterMs,
        },
      };
    default:
      return failUnreachable(answer);
  }
}
