import type {Address, Epoch, JobId} from '#model';

/** What control keeps of a job so that it starts nowhere else. */
export interface Admission {
  readonly job: JobId;
  readonly digest: string;
  readonly epoch: Epoch;
  readonly tasks: number;
  readonly unrepeatable: boolean;
  /** Tells the requests of one epoch apart: a 32-bit count. */
  readonly ticket: number;
  /** Until the job's deadline, after which nothing of it starts, in ms. */
  readonly startMs: number;
  /** Until the record may be forgotten, in ms. */
  readonly keepMs: number;
}

export interface AdmitParams {
  readonly admissions: readonly Admission[];
}

export type AdmitResult =
  | {readonly kind: 'admitted'}
  | {readonly kind: 'exists'; readonly standing: AdmittedJob}
  /** The epoch that asked is over. */
  | {readonly kind: 'ended'};

/** An admitted job and where to ask about it. */
export interface AdmittedJob {
  readonly digest: string;
  readonly tasks: number;
  readonly unrepeatable: boolean;
  /** The epoch that admitted it. */
  readonly epoch: Epoch;
  /** The epoch that owns it now: the same, or the last heir. */
  readonly owner: Epoch;
  /** Unset when the owner's epoch is over and no entry has taken over. */
  readonly address?: Address;
  /** The log index of the admission. */
  readonly revision: number;
  /**
   * The ticket of the request that made the record. By it an entry tells a
   * record whose answer it never saw, and may start, from one that it started
   * and has forgotten.
   */
  readonly ticket: number;
  /**
   * True until the deadline of the job's first submission. Agents keep what
   * they started some time longer, so that until then nobody's report is proof.
   */
  readonly mayStart: boolean;
  /** Set once a cancellation is recorded: nothing of the job starts any more. */
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
