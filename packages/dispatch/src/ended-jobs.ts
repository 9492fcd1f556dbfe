import {type JobId, RecentMap} from '#model';
import type {CancelJobResult} from '#protocol';
import {
  type ActiveJob,
  type FinalOutcome,
  isFinal,
  type JobOutcome,
} from './active-job.js';

/** Callers may ask for an ended job again; they do so within seconds. */
const maxRememberedJobs = 8192;

/** What became of the jobs that have ended here. The oldest are forgotten first. */
export class EndedJobs {
  private readonly outcomes = new RecentMap<JobId, FinalOutcome>(
    maxRememberedJobs,
  );
  /** Jobs without a result; the value is true when one of their runs may have begun. */
  private readonly abandoned = new RecentMap<JobId, boolean>(maxRememberedJobs);

  /** Notes how a job was answered. */
  note({state, hasRun, tickets}: ActiveJob, outcome: JobOutcome): void {
    const {id} = state.job;
    if (isFinal(outcome)) this.outcomes.set(id, outcome);
    else this.abandoned.set(id, hasRun || tickets.size > 0);
  }

  /** Keeps a job from being run here later. */
  markCancelled(job: JobId): void {
    this.outcomes.set(job, {kind: 'cancelled'});
  }

  /** Finds the outcome of a job that is not run again. */
  find(job: JobId): FinalOutcome | undefined {
    return this.outcomes.get(job);
  }

  /** Answers the cancellation of a job by its outcome; undefined when it has none. */
  answerCancellation(job: JobId): CancelJobResult | undefined {
    const outcome = this.outcomes.get(job);
    if (outcome === undefined) return undefined;
    return {kind: outcome.kind === 'cancelled' ? 'cancelled' : 'ended'};
  }

  /** True for a job that was closed here without a result. */
  isAbandoned(job: JobId): boolean {
    return this.abandoned.get(job) !== undefined;
  }

  /** True for a job that was closed here without a result, and of which a run may have begun. */
  hasBegun(job: JobId): boolean {
    return this.abandoned.get(job) === true;
  }
}
