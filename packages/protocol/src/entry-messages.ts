import type {JobAnswer, JobId, Submission} from '#model';

/** Submits a job for a caller at another entry, to the entry that owns the job or to one in its home region. */
export interface AttachParams {
  readonly submission: Submission;
  readonly remainingMs: number;
  /** Forwarded from another region; must not be forwarded to a third one. */
  readonly forwarded?: boolean;
}

export interface AttachResult {
  readonly answer: JobAnswer;
}

export interface JobParams {
  readonly job: JobId;
  /** Forwarded from another region; the receiver asks the job's owner in its own region. */
  readonly forwarded?: boolean;
}

export type JobState =
  | {readonly kind: 'absent'}
  /** `ended` is the number of tasks that succeeded. */
  | {readonly kind: 'running'; readonly tasks: number; readonly ended: number}
  | {readonly kind: 'answered'; readonly answer: JobAnswer};
