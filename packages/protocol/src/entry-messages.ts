import type {JobAnswer, JobId, Submission} from '#model';

/** Submits a job to the entry that owns it, or to one of its home region, on behalf of a caller at another entry. */
export interface AttachParams {
  readonly submission: Submission;
  readonly remainingMs: number;
  /** Comes from another region, and is not passed to a third one. */
  readonly forwarded?: boolean;
}

export interface AttachResult {
  readonly answer: JobAnswer;
}

export interface JobParams {
  readonly job: JobId;
  /** Comes from another region: the receiver asks the job's owner in its own. */
  readonly forwarded?: boolean;
}

export type JobState =
  | {readonly kind: 'absent'}
  | {readonly kind: 'running'; readonly tasks: number; readonly ended: number}
  | {readonly kind: 'answered'; readonly answer: JobAnswer};
