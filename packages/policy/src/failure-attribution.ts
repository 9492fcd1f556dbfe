import type {JobId, TargetId} from '#model';

/** What the failure of a task is attributed to. */
export type FailureSource =
  /** The target: the first failure of this job there. */
  | {readonly kind: 'target'}
  /** The target, where an earlier failure of this job is already recorded. */
  | {readonly kind: 'counted'}
  /** The job; its counted failures at the `withdrawn` targets must be undone. */
  | {readonly kind: 'job'; readonly withdrawn: readonly TargetId[]};

interface JobRecord {
  succeeded: boolean;
  readonly failedOn: Set<TargetId>;
}

/**
 * Distinguishes failing jobs from failing targets. A job counts at most once
 * against a target, however many of its tasks fail there. The failures of a job
 * that fails on several targets before any of its tasks succeeds are attributed
 * to the job, and those already counted are withdrawn.
 */
export class FailureAttribution {
  private readonly jobs = new Map<JobId, JobRecord>();

  /** Keeps at most `maxJobs` jobs and evicts the least recently used. */
  constructor(private readonly maxJobs: number) {}

  recordSuccess(job: JobId): void {
    this.getOrCreateRecord(job).succeeded = true;
  }

  recordFailure(job: JobId, target: TargetId): FailureSource {
    const record = this.getOrCreateRecord(job);
    if (record.failedOn.has(target)) return {kind: 'counted'};
    const earlier = [...record.failedOn];
    record.failedOn.add(target);
    if (record.succeeded || earlier.length === 0) return {kind: 'target'};
    return {kind: 'job', withdrawn: earlier.length === 1 ? earlier : []};
  }

  /** Returns the record of a job, created if absent, and marks it as most recently used. */
  private getOrCreateRecord(job: JobId): JobRecord {
    const record = this.jobs.get(job) ?? {
      succeeded: false,
      failedOn: new Set(),
    };
    this.jobs.delete(job);
    this.jobs.set(job, record);
    if (this.jobs.size > this.maxJobs) {
      this.jobs.delete(this.jobs.keys().next().value!);
    }
    return record;
  }
}
