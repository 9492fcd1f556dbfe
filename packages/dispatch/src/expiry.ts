import type {Clock, Instant, ServiceName, TargetId} from '#model';
import type {RunTicket} from '#protocol';
import {type ActiveJob, isUntouched, type JobOutcome} from './active-job.js';
import type {RunnerFleet} from './runner-fleet.js';

export interface ExpiryOptions {
  readonly clock: Clock;
  readonly fleet: RunnerFleet;
  /** Estimates when callers of a service had better come back, in ms. */
  readonly estimateRetryMs: (service: ServiceName) => number;
  readonly close: (job: ActiveJob, outcome: JobOutcome) => void;
  /** A job that was held back may be placed again. */
  readonly resume: () => void;
}

/** A target has given back by then what waits there, in ms. */
const withdrawalMs = 60;

/** Ends jobs whose answers are of no use any more, or whose callers leave. */
export class Expiry {
  constructor(private readonly options: ExpiryOptions) {}

  /** Looks at a job at an instant, instead of the one before. */
  arm(job: ActiveJob, at: Instant): void {
    const waitMs = Math.max(1, at - this.options.clock.now());
    job.expiry = setTimeout(() => this.expire(job), waitMs);
  }

  /**
   * Refuses a job whose answer cannot be of use any more and of which nothing has run. What waits
   * for room at targets is taken back first; a job that runs goes on until its caller leaves.
   */
  private expire(job: ActiveJob): void {
    const {clock, close, estimateRetryMs, fleet, resume} = this.options;
    if (clock.now() >= job.leavesAt && !isUntouched(job)) {
      close(job, {kind: 'expired'});
      return;
    }
    if (isUntouched(job)) {
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
      this.arm(job, job.leavesAt);
      resume();
      return;
    }
    job.isHeldBack = true;
    withdrawRuns(fleet, job, true);
    this.arm(job, clock.now() + withdrawalMs);
  }
}

/** Asks targets to end a job's runs, or those that have not begun. */
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
