import type {Address, Epoch, JobId} from '#model';

/** The record that control keeps of a job so that no other entry starts it. */
export interface Admission {
  readonly job: JobId;
  readonly digest: string;
  readonly epoch: Epoch;
  readonly tasks: number;
  readonly unrepeatable: boolean;
  /** 32-bit counter that identifies the request within the epoch. */
  readonly ticket: number;
  /** Time until the job's deadline, after which none of its tasks starts, in ms. */
  readonly startMs: number;
  /** Time until the record may be deleted, in ms. */
  readonly keepMs: number;
}

export interface AdmitParams {
  readonly admissions: readonly Admission[];
}

export type AdmitResult =
  | {readonly kind: 'admitted'}
  | {readonly kind: 'exists'; readonly standing: AdmittedJob}
  /** The requesting epoch has ended. */
  | {readonly kind: 'ended'};

/** An admitted job and its current owner. */
export interface AdmittedJob {
  readonly digest: string;
  readonly tasks: number;
  readonly unrepeatable: boolean;
  /** The epoch that admitted it. */
  readonly epoch: Epoch;
  /** The epoch that owns it now: the admitting one or the last successor. */
  readonly owner: Epoch;
  /** Unset if the owner's epoch has ended and no entry has taken over. */
  readonly address?: Address;
  /** The log index of the admission. */
  readonly revision: number;
  /**
   * The ticket of the request that created the record. It tells the entry that
   * sent the request whether it may start the job: yes if it did not receive the
   * answer to that request, no if it has started the job and no longer retains it.
   */
  readonly ticket: number;
  /**
   * True until the deadline of the job's first submission. Until then the lack
   * of a report from any agent proves that a task was not started, as agents
   * keep records of started tasks for some time beyond the deadline.
   */
  readonly mayStart: boolean;
  /** Set once a cancellation is recorded; no task of the job starts after that. */
  readonly cancelled?: true;
}

export interface CancelJobsParams {
  readonly jobs: readonly JobId[];
}

export interface LookupParams {
  readonly jobs: readonly JobId[];
}

export type LookupResult =
  | {readonly kind: 'absent'}
  | {readonly kind: 'exists'; readonly standing: AdmittedJob};

export interface EpochJobsParams {
  readonly epochs: readonly Epoch[];
}

export interface EpochJob {
  readonly job: JobId;
  /** The log index of the admission. */
  readonly revision: number;
  readonly digest: string;
  readonly epoch: Epoch;
  readonly tasks: number;
  readonly unrepeatable: boolean;
}
