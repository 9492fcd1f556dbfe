import {type Address, type JobId, monotonicClock} from '#model';
import type {ActiveJob} from './active-job.js';
import {isSameOwner, type JobOwner, rankRegistrars} from './claims.js';
import {
  type ClaimedJob,
  claimTimeoutMs,
  type OwnershipOptions,
  registrarsPerJob,
} from './ownership.js';

/** Pause between attempts to reach a registrar, in ms: it knows an owner again before it counts as knowing all of them. */
const repeatPauseMs = 250;

export interface ClaimKeeperOptions {
  readonly ownership: OwnershipOptions;
  /** Lists the jobs of this process, also those that were answered. */
  readonly listJobs: () => Iterable<ActiveJob>;
  /** Called when a registrar names another owner of a job, which may have started it. */
  readonly giveUp: (job: JobId) => void;
}

/** Repeats the claims of running jobs at registrars that have lost them, as they have started again or were out of reach. */
export class ClaimKeeper implements Disposable {
  private readonly lost = new Set<Address>();
  private timer: NodeJS.Timeout | undefined;
  private isDisposed = false;

  constructor(private readonly options: ClaimKeeperOptions) {}

  /** Notes that a registrar may not know this process's claims any more. */
  noteLost(registrar: Address): void {
    this.lost.add(registrar);
    this.schedule();
  }

  [Symbol.dispose](): void {
    this.isDisposed = true;
    clearTimeout(this.timer);
  }

  private schedule(): void {
    if (this.isDisposed) return;
    this.timer ??= setTimeout(() => void this.repeat(), repeatPauseMs);
  }

  private async repeat(): Promise<void> {
    const lost = [...this.lost];
    await Promise.all(lost.map(registrar => this.repeatAt(registrar)));
    this.timer = undefined;
    if (this.lost.size > 0) this.schedule();
  }

  private async repeatAt(registrar: Address): Promise<void> {
    // Noted again if a claim is missed while this one is under way.
    this.lost.delete(registrar);
    const jobs = this.listJobsOf(registrar);
    const answers = await Promise.all(
      jobs.map(job => this.repeatClaim(registrar, job)),
    );
    if (answers.includes('unanswered')) this.lost.add(registrar);
  }

  private listJobsOf(registrar: Address): readonly ClaimedJob[] {
    const {ownership, listJobs} = this.options;
    return [...listJobs()]
      .filter(({isAnswered}) => !isAnswered)
      .map(({state, queue}) => ({job: state.job.id, service: queue.service}))
      .filter(({job, service}) =>
        rankRegistrars(job, ownership.listDispatchers(service))
          .slice(0, registrarsPerJob)
          .includes(registrar),
      );
  }

  private async repeatClaim(
    registrar: Address,
    {job, service}: ClaimedJob,
  ): Promise<'answered' | 'unanswered'> {
    const {ownership, giveUp} = this.options;
    const {peerDispatchers, log} = ownership;
    const claimant = ownership.self!;
    const send = (replaces: JobOwner | undefined) =>
      peerDispatchers.sendClaim(
        registrar,
        {job, service, claimant, replaces},
        monotonicClock.now() + claimTimeoutMs,
      );
    let answer = await send(undefined);
    // It may know an earlier process alone, whose runs were ended before this one ran the job.
    if (answer?.owner.address === claimant.address) {
      answer = await send(answer.owner);
    }
    if (answer === undefined) return 'unanswered';
    if (isSameOwner(answer.owner, claimant)) return 'answered';
    log.warn(
      {event: 'claim-lost', job, registrar, owner: answer.owner.address},
      'a registrar names another owner of a job; it is given up',
    );
    giveUp(job);
    return 'answered';
  }
}
