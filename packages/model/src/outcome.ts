import type {JobId} from './id.js';

/** Why a request was refused before any of its tasks started. */
export type NotRunReason =
  | 'bad-request'
  | 'unknown-service'
  | 'unknown-team'
  | 'key-reused'
  | 'too-many-tasks'
  | 'body-too-large'
  | 'team-over-quota'
  | 'overloaded'
  | 'deadline-unreachable'
  | 'can-never-run'
  | 'draining'
  | 'no-targets';

/** Why a job that was admitted has no complete answer. */
export type FailureReason =
  'task-failed' | 'deadline-passed' | 'cancelled' | 'retries-exhausted';

/** Why the system cannot tell what became of a job. */
export type UnknownReason =
  | 'control-unavailable'
  | 'admission-unconfirmed'
  | 'owner-unreachable'
  | 'home-unreachable'
  | 'target-lost'
  | 'owner-lost'
  | 'answer-expired';

/**
 * What a caller is told. Exactly one of four:
 * the whole answer, a failure, an unknown fate, or a refusal that is true.
 */
export type JobAnswer =
  | {
      readonly kind: 'complete';
      readonly job: JobId;
      /** One for each task, in the order submitted. */
      readonly results: readonly unknown[];
    }
  | {
      readonly kind: 'failed';
      readonly job: JobId;
      readonly reason: FailureReason;
      readonly detail: string;
    }
  | {
      readonly kind: 'unknown';
      readonly job: JobId;
      readonly reason: UnknownReason;
      readonly detail: string;
    }
  | {
      readonly kind: 'not-run';
      readonly job: JobId;
      readonly reason: NotRunReason;
      readonly detail: string;
      /** How long the caller should wait before it resubmits; 0 when resubmission cannot help. */
      readonly retryAfterMs: number;
    };

/** Why an agent did not start a task. Each proves that the task did not run there. */
export type TaskRefusal =
  | 'no-slot'
  | 'draining'
  | 'fenced'
  | 'expired'
  | 'cancelled'
  | 'wrong-service'
  | 'too-large'
  | 'target-down';

/** What became of a task at one agent. */
export type TaskFate =
  | {readonly kind: 'succeeded'; readonly result: unknown}
  | {readonly kind: 'failed'; readonly detail: string}
  | {readonly kind: 'cancelled'}
  | {readonly kind: 'unknown'; readonly detail: string}
  | {readonly kind: 'not-run'; readonly reason: TaskRefusal};

/** What an agent knows of a task that it is asked about. */
export type TaskStanding =
  | {readonly kind: 'never-started'}
  | {readonly kind: 'running'}
  | {readonly kind: 'ended'; readonly fate: TaskFate};
