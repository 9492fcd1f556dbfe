import type {Instant} from '#model';
import type {Logger, Metrics} from '#telemetry';
import type {ActiveJob, JobOutcome} from './active-job.js';

/** A job's callers are answered. */
export function logEnd(
  log: Logger,
  {state, queue, arrivedAt}: ActiveJob,
  {kind: outcome}: JobOutcome,
  now: Instant,
): void {
  const level = outcome === 'completed' ? 'debug' : 'info';
  log[level](
    {
      event: 'job-ended',
      job: state.job.id,
      queue: queue.name,
      outcome,
      ageMs: Math.round(now - arrivedAt),
    },
    'a job is over',
  );
}

/** Counts a job that is over, and its response time. */
export function measureEnd(
  metrics: Metrics,
  {queue, arrivedAt}: ActiveJob,
  {kind: outcome}: JobOutcome,
  now: Instant,
): void {
  const tags = {queue: queue.name, outcome};
  metrics.increment('queued.jobs', 1, tags);
  metrics.timing('queued.job.response', now - arrivedAt, tags);
}
