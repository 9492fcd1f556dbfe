import type {JobAnswer, JobId, Submission} from '#model';

/** Submits a job to the entry that owns it, on behalf of a caller at another entry. */
export interface AttachParams {
  readonly submission: Submission;
  readonly remainingMs: number;
}

export interface AttachResult {
  readonly answer: JobAnswer;
}

export interface JobParams {
  readonly job: JobId;
}

export type JobState =
  | {readonly kind: 'absent'}
  | {readonly kind: 'running'; readonly tasks: number; readonly ended: number}
  | {readonly kind: 'answered'; readonly answer: JobAnswer};
