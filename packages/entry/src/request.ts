import {type Either, Left, Right} from 'purify-ts';
import {
  array,
  Codec,
  number,
  optional,
  boolean,
  unknown,
} from 'purify-ts/Codec';
import {
  computeDigest,
  deriveJobId,
  type Limits,
  type NotRunReason,
  type Submission,
} from '#model';

/** Why a request was rejected before a job was created. */
export interface BadRequest {
  readonly reason: NotRunReason;
  readonly detail: string;
}

/** The unvalidated parts of an HTTP request. */
export interface RawRequest {
  readonly service: string;
  readonly team: string | undefined;
  readonly key: string | undefined;
  readonly body: Buffer;
}

export interface CheckedRequest {
  readonly submission: Submission;
  /** Time until the job's deadline, in ms. */
  readonly remainingMs: number;
}

const bodyCodec = Codec.interface({
  deadlineMs: optional(number),
  unrepeatable: optional(boolean),
  tasks: array(
    Codec.interface({payload: unknown, expectedMs: optional(number)}),
  ),
});

const defaultDeadlineMs = 30_000;
const maxNameLength = 200;
const namePattern = /^[\x21-\x7e]+$/;

/** Validates a key or a team name from a header. */
export function checkName(
  header: string,
  value: string | undefined,
): Either<BadRequest, string> {
  if (value === undefined || value === '') {
    return refuse(`header ${header} is required`);
  }
  if (value.length > maxNameLength || !namePattern.test(value)) {
    return refuse(
      `header ${header} must be 1 to ${maxNameLength} printable ASCII characters without spaces`,
    );
  }
  return Right(value);
}

/** Validates a request and builds its submission, or reports which part is invalid. */
export function checkRequest(
  raw: RawRequest,
  limits: Limits,
): Either<BadRequest, CheckedRequest> {
  return checkName('Idempotency-Key', raw.key).chain(key =>
    checkName('Wasabiring-Team', raw.team).chain(team =>
      parseBody(raw.body).chain(body =>
        checkBody(raw, key, team, body, limits),
      ),
    ),
  );
}

function parseBody(body: Buffer): Either<BadRequest, unknown> {
  try {
    return Right(JSON.parse(body.toString('utf8')));
  } catch (error) {
    return refuse(`body is not JSON: ${(error as Error).message}`);
  }
}

function checkBody(
  raw: RawRequest,
  key: string,
  team: string,
  body: unknown,
  limits: Limits,
): Either<BadRequest, CheckedRequest> {
  return bodyCodec
    .decode(body)
    .mapLeft((detail): BadRequest => ({
      reason: 'bad-request',
      detail: `body: ${detail}`,
    }))
    .chain(({deadlineMs, unrepeatable = false, tasks}) => {
      const remainingMs = deadlineMs ?? defaultDeadlineMs;
      if (!(remainingMs >= 1 && remainingMs <= limits.maxDeadlineMs)) {
        return refuse(
          `deadlineMs must be 1 to ${limits.maxDeadlineMs}, got ${remainingMs}`,
        );
      }
      if (tasks.length === 0) return refuse('tasks must not be empty');
      if (tasks.length > limits.maxTasksPerJob) {
        return Left<BadRequest>({
          reason: 'too-many-tasks',
          detail: `a job has at most ${limits.maxTasksPerJob} tasks, got ${tasks.length}`,
        });
      }
      const submission: Submission = {
        job: deriveJobId(team, key),
        team,
        service: raw.service,
        digest: computeDigest(raw.service, unrepeatable, tasks),
        unrepeatable,
        tasks,
      };
      return Right({submission, remainingMs});
    });
}

function refuse<Checked>(detail: string): Either<BadRequest, Checked> {
  return Left({reason: 'bad-request', detail});
}
