import {failUnreachable, type JobAnswer, type NotRunReason} from '#model';

/** An answer as it goes to a caller by HTTP. */
export interface HttpAnswer {
  readonly status: number;
  readonly retryAfterMs: number;
  readonly body: unknown;
}

/** Gives the HTTP status of a refusal. */
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
 * Formats an answer for a caller. `complete` is 200; `failed` is 500; a fate
 * that cannot be told is `failed` with the reason `unknown`, 504; a refusal has
 * the status of its reason.
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
