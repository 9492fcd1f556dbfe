import type {Instant, RunEnd, RunRef, TargetId} from '#model';
import type {Logger, Metrics} from '#telemetry';
import type {ActiveJob, JobOutcome} from './active-job.js';

/** Logs the outcome of a job. */
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
    'a job has ended',
  );
}

/** Records the outcome and response time of a job. */
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

/** Logs the end of a run. */
export function logRunEnd(
  log: Logger,
  target: TargetId,
  ref: RunRef,
  end: RunEnd,
): void {
  const isUsual = end === 'succeeded' || end === 'not-run';
  log[isUsual ? 'debug' : 'info'](
    {event: 'run-ended', target, ...ref, end},
    'a run has ended',
  );
}
