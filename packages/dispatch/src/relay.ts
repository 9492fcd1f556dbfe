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
import type {PeerDispatchers} from './peer-dispatchers.js';

export interface RelayOptions {
  readonly peerDispatchers: PeerDispatchers;
  readonly log: Logger;
  /** Returns this process's event loop lag in ms. */
  readonly readLagMs: () => number;
  readonly seed: number;
}

/** Relays jobs to less loaded dispatchers while this process is saturated. */
export class Relay {
  /** The dispatchers that pending relayed jobs were sent to. */
  private readonly jobs = new Map<JobId, Address>();
  private readonly random;

  constructor(private readonly options: RelayOptions) {
    this.random = createRandom(options.seed);
  }

  /** The number of relayed jobs without an outcome. */
  get size(): number {
    return this.jobs.size;
  }

  /**
   * Relays a job when this process's event loop lags and a less loaded dispatcher is known. Returns
   * undefined when the job is to run here, also when no connection could be opened. The outcome is
   * `expired` when the new owner stops responding, as some of the job's tasks may have run.
   */
  async tryRelay({
    job,
    queue,
    arrivedAt,
    callerDeadline,
  }: JobSubmission): Promise<JobOutcome | undefined> {
    const {peerDispatchers, log, readLagMs} = this.options;
    const lagMs = readLagMs();
    const peerAddress = chooseRelay(
      lagMs,
      peerDispatchers.listLoads(),
      this.random,
    );
    if (peerAddress === undefined) return undefined;
    const now = monotonicClock.now();
    const ageMs = Math.max(0, now - arrivedAt);
    const remainingMs = computeRemainingMs(now, callerDeadline);
    this.jobs.set(job.id, peerAddress);
    log.debug(
      {
        event: 'job-relayed',
        job: job.id,
        fellow: peerAddress,
        lagMs: Math.round(lagMs),
        patienceMs: Math.round(remainingMs),
      },
      'relayed a job to another dispatcher: the event loop lags',
    );
    const params = {job, queue, ageMs, remainingMs, knowsCancelled: true};
    const relayed = await peerDispatchers.relay(
      peerAddress,
      params,
      callerDeadline,
    );
    this.jobs.delete(job.id);
    switch (relayed.kind) {
      case 'answered':
        return relayed.result.end;
      case 'unsent':
        return undefined;
      case 'lost':
        return {kind: 'expired'};
      default:
        return failUnreachable(relayed);
    }
  }

  /** Tells the new owner that the caller has disconnected; false for a job that was not relayed. */
  cancel(job: JobId): boolean {
    const peerAddress = this.jobs.get(job);
    if (peerAddress === undefined) return false;
    void this.options.peerDispatchers.cancel(peerAddress, job);
    return true;
  }
}
