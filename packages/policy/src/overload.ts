import type {Instant, LateJobs} from '#model';

/** Times of a job that decide whether it is admitted. */
export interface JobDeadlines {
  readonly dueAt: Instant;
  /** When its answer becomes useless or its caller stops waiting. */
  readonly answerDeadline: Instant;
}

/** Shorter waits are usual while targets have free capacity. */
const minOverloadMs = 10;

/**
 * Chooses the time by which a job must be expected to end to be admitted. Where late jobs are avoided,
 * it is the due time while new work waits for `waitMs`, at the targets or in this process, and otherwise
 * the time until which the answer is of use.
 *
 * Load pattern: a crest of demand at a cold start, when the jobs of the last second arrive at once and
 * each process is at the limit of its processor. Every job that is served late costs as many messages
 * as one in time, so that the backlog lasts for seconds and makes further jobs late.
 */
export function chooseAdmissionDeadline(
  {dueAt, answerDeadline}: JobDeadlines,
  lateJobs: LateJobs | undefined,
  waitMs: number,
): Instant {
  if (lateJobs !== 'avoid' || waitMs <= minOverloadMs) return answerDeadline;
  return Math.min(dueAt, answerDeadline);
}
