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

/** Why the outcome of a job is unknown. */
export type UnknownReason =
  | 'control-unavailable'
  | 'admission-unconfirmed'
  | 'owner-unreachable'
  | 'home-unreachable'
  | 'target-lost'
  | 'owner-lost'
  | 'answer-expired';

/**
 * The answer to a caller, exactly one of: all results, a failure, an unknown
 * outcome, or a refusal, which guarantees that no task ran.
 */
export type JobAnswer =
  | {
      readonly kind: 'complete';
      readonly job: JobId;
      /** One result per task, in the order submitted. */
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
      /** Delay before the caller should resubmit, in ms; 0 if resubmission cannot help. */
      readonly retryAfterMs: number;
    };

/** Why an agent did not start a task. Each reason proves that the task did not run there. */
export type TaskRefusal =
  | 'no-slot'
  | 'draining'
  | 'fenced'
  | 'expired'
  | 'cancelled'
  | 'wrong-service'
  | 'too-large'
  | 'target-down';

/** Outcome of a task at one agent. */
export type TaskResult =
  | {readonly kind: 'succeeded'; readonly result: unknown}
  | {readonly kind: 'failed'; readonly detail: string}
  | {readonly kind: 'cancelled'}
  | {readonly kind: 'unknown'; readonly detail: string}
  | {readonly kind: 'not-run'; readonly reason: TaskRefusal};

/** State of a task as an agent reports it when queried. */
export type TaskStatus =
  | {readonly kind: 'never-started'}
  | {readonly kind: 'running'}
  | {readonly kind: 'ended'; readonly fate: TaskResult};
