import type {Clock, Instant, JobId} from '#model';
import type {FollowJobResult} from '#protocol';
import {type ActiveJob, isFinal, type JobOutcome} from './active-job.js';
import type {EndedJobs} from './ended-jobs.js';
import {sleepUntil} from './wait.js';

/** The jobs of a dispatcher, as others ask for them. */
export interface FollowedJobs {
  readonly clock: Clock;
  readonly jobs: ReadonlyMap<JobId, ActiveJob>;
  readonly ended: EndedJobs;
  /** Finds or awaits the outcome of a job; undefined when it has none. */
  readonly findOutcome: (job: JobId) => Promise<JobOutcome | undefined>;
  /** Gives up a job that has no outcome yet. */
  readonly cancel: (job: JobId) => void;
}

/** Answers a dispatcher that wants to run a job: by the job's outcome, or once it was given up and its runs have ended. */
export async function answerFollow(
  {clock, jobs, ended, findOutcome, cancel}: FollowedJobs,
  id: JobId,
  deadline: Instant,
): Promise<FollowJobResult> {
  const isKnown = jobs.has(id) || ended.isAbandoned(id);
  const outcome = await Promise.race([
    findOutcome(id),
    sleepUntil(deadline, clock),
  ]);
  if (outcome !== undefined && isFinal(outcome)) return {kind: outcome.kind};
  if (!isKnown) return {kind: 'unknown'};
  const known = jobs.get(id);
  if (known !== undefined) {
    cancel(id);
    await new Promise<void>(resolve => known.runsEndedWaiters.push(resolve));
  }
  return ended.find(id) ?? {kind: 'closed'};
}
