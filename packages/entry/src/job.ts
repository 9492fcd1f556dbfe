import {
  assertInvariant,
  failUnreachable,
  type FailureReason,
  type Instant,
  type JobAnswer,
  type Submission,
  type TargetId,
  type TaskResult,
  type UnknownReason,
} from '#model';

/** The state of one task as its job's owner knows it. */
export type TaskState =
  | {readonly kind: 'waiting'; readonly placements: number}
  | {
      readonly kind: 'sent';
      readonly target: TargetId;
      readonly incarnation: number;
      readonly placements: number;
    }
  | {readonly kind: 'ended'; readonly result: unknown};

/** The state of a job at its owner. Immutable: every change is a `JobEvent`. */
export interface Job {
  readonly submission: Submission;
  readonly deadline: Instant;
  readonly tasks: readonly TaskState[];
  /** Number of tasks that succeeded. */
  readonly ended: number;
  /** Set once, when the job is over. */
  readonly answer?: JobAnswer;
}

export type JobEvent =
  | {
      readonly kind: 'sent';
      readonly task: number;
      readonly target: TargetId;
      readonly incarnation: number;
    }
  | {readonly kind: 'fate'; readonly task: number; readonly fate: TaskResult}
  | {readonly kind: 'abandoned'; readonly answer: JobAnswer};

/** Creates a job with all its tasks waiting. */
export function createJob(submission: Submission, deadline: Instant): Job {
  return {
    submission,
    deadline,
    tasks: submission.tasks.map(() => ({kind: 'waiting', placements: 0})),
    ended: 0,
  };
}

/** Creates the answer of a job that failed. */
export function createFailedAnswer(
  job: Job,
  reason: FailureReason,
  detail: string,
): JobAnswer {
  return {kind: 'failed', job: job.submission.job, reason, detail};
}

/** Creates the answer of a job whose outcome cannot be determined. */
export function createUnknownAnswer(
  job: Job,
  reason: UnknownReason,
  detail: string,
): JobAnswer {
  return {kind: 'unknown', job: job.submission.job, reason, detail};
}

/**
 * Applies one event. Events for a job that has an answer are ignored. The answer
 * is set when the last task succeeds, or when the first task fails, is cancelled,
 * has an unknown outcome or has used up its placements.
 */
export function applyJobEvent(
  job: Job,
  event: JobEvent,
  maxPlacements: number,
): Job {
  if (job.answer !== undefined) return job;
  switch (event.kind) {
    case 'sent': {
      const state = job.tasks[event.task]!;
      assertInvariant(
        state.kind === 'waiting',
        `task ${event.task} of ${job.submission.job} sent while ${state.kind}`,
      );
      return replaceTask(job, event.task, {
        kind: 'sent',
        target: event.target,
        incarnation: event.incarnation,
        placements: state.placements + 1,
      });
    }
    case 'fate':
      return applyFate(job, event.task, event.fate, maxPlacements);
    case 'abandoned':
      return {...job, answer: event.answer};
    default:
      return failUnreachable(event);
  }
}

function applyFate(
  job: Job,
  task: number,
  fate: TaskResult,
  maxPlacements: number,
): Job {
  const state = job.tasks[task];
  if (state === undefined || state.kind !== 'sent') return job;
  switch (fate.kind) {
    case 'succeeded':
      return completeTask(job, task, fate.result);
    case 'failed':
      return {
        ...job,
        answer: createFailedAnswer(
          job,
          'task-failed',
          `task ${task}: ${fate.detail}`,
        ),
      };
    case 'cancelled':
      return {
        ...job,
        answer: createFailedAnswer(
          job,
          'cancelled',
          `task ${task} was cancelled`,
        ),
      };
    case 'unknown':
      return {
        ...job,
        answer: createUnknownAnswer(
          job,
          'target-lost',
          `task ${task}: ${fate.detail}`,
        ),
      };
    case 'not-run':
      if (state.placements >= maxPlacements) {
        return {
          ...job,
          answer: createFailedAnswer(
            job,
            'retries-exhausted',
            `task ${task} was refused ${state.placements} times, last as ${fate.reason}`,
          ),
        };
      }
      return replaceTask(job, task, {
        kind: 'waiting',
        placements: state.placements,
      });
    default:
      return failUnreachable(fate);
  }
}

function completeTask(job: Job, task: number, result: unknown): Job {
  const next = {
    ...replaceTask(job, task, {kind: 'ended', result}),
    ended: job.ended + 1,
  };
  if (next.ended < next.tasks.length) return next;
  return {
    ...next,
    answer: {
      kind: 'complete',
      job: job.submission.job,
      results: next.tasks.map(state => {
        assertInvariant(
          state.kind === 'ended',
          'a complete job has all results',
        );
        return state.result;
      }),
    },
  };
}

function replaceTask(job: Job, task: number, state: TaskState): Job {
  return {...job, tasks: job.tasks.with(task, state)};
}
