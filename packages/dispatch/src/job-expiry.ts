import type {Clock, Instant, ServiceName, TargetId} from '#model';
import type {RunTicket} from '#protocol';
import {type ActiveJob, isUnstarted, type JobOutcome} from './active-job.js';
import type {RunnerFleet} from './runner-fleet.js';

export interface JobExpiryOptions {
  readonly clock: Clock;
  readonly fleet: RunnerFleet;
  /** Estimates the retry delay for callers of a service, in ms. */
  readonly estimateRetryMs: (service: ServiceName) => number;
  readonly close: (job: ActiveJob, outcome: JobOutcome) => void;
  /** Called when a job that was held back may be placed again. */
  readonly resume: () => void;
}

/** Within this time a target returns withdrawn runs that have not begun. */
const withdrawalTimeoutMs = 60;

/** Ends jobs whose answers are no longer useful or whose callers stop waiting. */
export class JobExpiry {
  constructor(private readonly options: JobExpiryOptions) {}

  /** Schedules the next check of a job. */
  arm(job: ActiveJob, at: Instant): void {
    const waitMs = Math.max(1, at - this.options.clock.now());
    job.expiry = setTimeout(() => this.expire(job), waitMs);
  }

  /**
   * Refuses a job whose answer can no longer be useful and of which nothing has run. Runs that wait
   * for capacity at targets are withdrawn first; a running job continues until its caller stops waiting.
   */
  private expire(job: ActiveJob): void {
    const {clock, close, estimateRetryMs, fleet, resume} = this.options;
    if (clock.now() >= job.callerDeadline && !isUnstarted(job)) {
      close(job, {kind: 'expired'});
      return;
    }
    if (isUnstarted(job)) {
      close(job, {
        kind: 'refused',
        cause: 'no-room',
        retryAfterMs: estimateRetryMs(job.queue.service),
        detail: 'no room was found while its answer was of use',
      });
      return;
    }
    if (job.hasRun || job.isHeldBack) {
      job.isHeldBack = false;
      this.arm(job, job.callerDeadline);
      resume();
      return;
    }
    job.isHeldBack = true;
    withdrawRuns(fleet, job, true);
    this.arm(job, clock.now() + withdrawalTimeoutMs);
  }
}

/** Asks targets to end a job's runs, or only those that have not begun. */
export function withdrawRuns(
  fleet: RunnerFleet,
  job: ActiveJob,
  waitingOnly: boolean,
): void {
  const byTarget = new Map<TargetId, RunTicket[]>();
  for (const [ticket, target] of job.tickets) {
    const tickets = byTarget.get(target) ?? [];
    tickets.push(ticket);
    byTarget.set(target, tickets);
  }
  for (const [target, tickets] of byTarget) {
    fleet.find(target)?.withdraw(tickets, waitingOnly);
  }
}
