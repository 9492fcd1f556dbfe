import type {JobId, TargetId} from '#model';

/** Who a failed task speaks against. */
export type BlameVerdict =
  /** The target, with this job's one vote against it. */
  | {readonly kind: 'target'}
  /** The target, against which this job has voted already. */
  | {readonly kind: 'counted'}
  /** The job; the votes that it cast before are taken back. */
  | {readonly kind: 'job'; readonly refunded: readonly TargetId[]};

interface JobRecord {
  succeeded: boolean;
  readonly failedOn: Set<TargetId>;
}

/**
 * Tells failing jobs from failing targets. A job has one vote against a target,
 * however many of its tasks fail there. A job that fails on several targets and
 * succeeds on none is itself to blame, and its votes are taken back.
 */
export class JobBlame {
  private readonly jobs = new Map<JobId, JobRecord>();

  /** Remembers the given number of jobs, those last seen. */
  constructor(private readonly maxJobs: number) {}

  recordSuccess(job: JobId): void {
    this.open(job).succeeded = true;
  }

  recordFailure(job: JobId, target: TargetId): BlameVerdict {
    const record = this.open(job);
    if (record.failedOn.has(target)) return {kind: 'counted'};
    const earlier = [...record.failedOn];
    record.failedOn.add(target);
    if (record.succeeded || earlier.length === 0) return {kind: 'target'};
    return {kind: 'job', refunded: earlier.length === 1 ? earlier : []};
  }

  private open(job: JobId): JobRecord {
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
