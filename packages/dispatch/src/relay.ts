import {
  type Address,
  computeRemainingMs,
  failUnreachable,
  type JobId,
  monotonicClock,
} from '#model';
import {chooseRelay, createRandom} from '#policy';
import type {Logger} from '#telemetry';
import type {JobOutcome, JobSubmission} from './active-job.js';
import type {Fellows} from './fellows.js';

export interface RelayOptions {
  readonly fellows: Fellows;
  readonly log: Logger;
  /** Reads how late this process's event loop is, in ms. */
  readonly readLagMs: () => number;
  readonly seed: number;
}

/** Hands jobs to other dispatchers while this process is at the limit of its processor. */
export class Relay {
  /** Jobs handed on and not answered, and to whom. */
  private readonly jobs = new Map<JobId, Address>();
  private readonly random;

  constructor(private readonly options: RelayOptions) {
    this.random = createRandom(options.seed);
  }

  /** Jobs handed on and not answered. */
  get size(): number {
    return this.jobs.size;
  }

  /**
   * Hands a job on when this process is late and another one has time to spare; undefined when it
   * stays here, also for want of a connection. A job whose new owner falls silent has expired: something
   * of it may have run.
   */
  async tryRelay({
    job,
    queue,
    arrivedAt,
    leavesAt,
  }: JobSubmission): Promise<JobOutcome | undefined> {
    const {fellows, log, readLagMs} = this.options;
    const lagMs = readLagMs();
    const fellow = chooseRelay(lagMs, fellows.listLoads(), this.random);
    if (fellow === undefined) return undefined;
    const now = monotonicClock.now();
    const ageMs = Math.max(0, now - arrivedAt);
    const remainingMs = computeRemainingMs(now, leavesAt);
    this.jobs.set(job.id, fellow);
    log.debug(
      {
        event: 'job-relayed',
        job: job.id,
        fellow,
        lagMs: Math.round(lagMs),
        patienceMs: Math.round(remainingMs),
      },
      'handed a job to another dispatcher: this process is late',
    );
    const params = {job, queue, ageMs, remainingMs};
    const handed = await fellows.relay(fellow, params, leavesAt);
    this.jobs.delete(job.id);
    switch (handed.kind) {
      case 'answered':
        return handed.result.end;
      case 'unsent':
        return undefined;
      case 'lost':
        return {kind: 'expired'};
      default:
        return failUnreachable(handed);
    }
  }

  /** Tells the new owner that the caller has left; false for a job that was not handed on. */
  release(job: JobId): boolean {
    const fellow = this.jobs.get(job);
    if (fellow === undefined) return false;
    void this.options.fellows.release(fellow, job);
    return true;
  }
}
