import {
  type Address,
  type Clock,
  computeRemainingMs,
  type Epoch,
  failUnreachable,
  type Instant,
  type JobAnswer,
  type JobId,
  type NotRunReason,
  type Submission,
  type UnknownReason,
} from '#model';
import type {AdmittedJob} from '#protocol';
import type {Execution} from './execution.js';
import {failJob, loseJob} from './job.js';
import type {Neighbours} from './neighbours.js';
import type {Registrar} from './registrar.js';
import {Tickets} from './tickets.js';

/** A refusal as admission control gives it, before control has confirmed it. */
export interface Refusal {
  readonly reason: NotRunReason;
  readonly detail: string;
  readonly retryAfterMs: number;
}

/** What finding a job's owner needs of the entry. */
export interface OwnershipOwner {
  readonly clock: Clock;
  /** Where other entries are told to dial this one. */
  readonly address: Address;
  /** True unless the view shows that an epoch is over. */
  readonly isLive: (epoch: Epoch) => boolean;
  /** The epoch held, perhaps past its lease. */
  readonly getEpoch: () => Epoch | undefined;
  readonly getStartingEpoch: () => Epoch | undefined;
  readonly getKeepMs: (unrepeatable: boolean) => number;
  /** Judges a job that is not known here. */
  readonly judge: (
    submission: Submission,
    deadline: Instant,
  ) => Refusal | undefined;
  /** Counts a job's tasks as waiting until disposal, while its admission is under way. */
  readonly announce: (submission: Submission) => Disposable;
  /** Starts the job's waiting tasks. */
  readonly start: (execution: Execution) => void;
  /** Rebuilds a job of an ended epoch, or tells why it cannot be finished. */
  readonly inherit: (
    submission: Submission,
    deadline: Instant,
    standing: AdmittedJob,
  ) => Promise<Execution>;
}

const retryPauseMs = 100;
/** How often a waiting entry checks that the owner's epoch still lives. */
const ownerCheckMs = 500;

/**
 * Finds out who owns a job: this epoch, which then starts it at most once, or
 * another entry, whose answer is waited for.
 */
export class Ownership {
  private readonly tickets = new Tickets();
  /** Jobs of ended epochs that this epoch has continued; never a second time. */
  private readonly resumed = new Set<JobId>();

  constructor(
    private readonly owner: OwnershipOwner,
    private readonly registrar: Registrar,
    private readonly neighbours: Neighbours,
    /** Puts the execution of an inherited job in the place of the one that asked for it. */
    private readonly keepInherited: (execution: Execution) => void,
  ) {}

  /** Forgets what the epoch admitted and continued: it is over. */
  clear(): void {
    this.tickets.clear();
    this.resumed.clear();
  }

  /** Has control record the job for this epoch and starts it, or follows whoever has it. */
  async admit(execution: Execution): Promise<void> {
    const {submission, deadline} = execution.job;
    const refusal = this.owner.judge(submission, deadline);
    if (refusal !== undefined) {
      await this.confirmRefusal(execution, refusal);
      return;
    }
    const epoch = this.owner.getStartingEpoch();
    if (epoch === undefined) {
      await this.resolveElsewhere(execution);
      return;
    }
    const detachments = execution.detachmentCount;
    const ticket = this.tickets.issue(submission.job);
    const announced = this.owner.announce(submission);
    const result = await this.registrar.admit(
      submission,
      epoch,
      ticket,
      computeRemainingMs(this.owner.clock.now(), deadline),
      this.owner.getKeepMs(submission.unrepeatable),
    );
    announced[Symbol.dispose]();
    if (execution.isOver || execution.detachmentCount !== detachments) return;
    if (result === undefined) {
      await this.resolveElsewhere(execution, 'admission-unconfirmed');
      return;
    }
    switch (result.kind) {
      case 'admitted':
        this.startConfirmed(execution);
        return;
      case 'exists':
        await this.follow(execution, result.standing);
        return;
      case 'ended':
        await this.retryAdmission(execution);
        return;
      default:
        failUnreachable(result);
    }
  }

  /** From here on no ticket of the job starts it again. */
  private startConfirmed(execution: Execution): void {
    this.tickets.retire(execution.job.submission.job);
    execution.own();
    this.owner.start(execution);
  }

  /** Gives a refusal only when control confirms that the job has no record. */
  private async confirmRefusal(
    execution: Execution,
    refusal: Refusal,
  ): Promise<void> {
    const {job} = execution.job.submission;
    const found = await this.registrar.lookUp(job);
    if (found === undefined) {
      this.lose(execution, 'control-unavailable', refusal.detail);
      return;
    }
    if (found.kind === 'exists') {
      await this.follow(execution, found.standing);
      return;
    }
    execution.resolve({kind: 'not-run', job, ...refusal});
  }

  private async retryAdmission(execution: Execution): Promise<void> {
    const detachments = execution.detachmentCount;
    await pause(retryPauseMs);
    if (execution.isOver || execution.detachmentCount !== detachments) return;
    await this.admit(execution);
  }

  /** Gets the answer of a job that has a record from whoever owns it. */
  private async follow(
    execution: Execution,
    standing: AdmittedJob,
  ): Promise<void> {
    const {submission, deadline} = execution.job;
    if (standing.epoch !== this.owner.getEpoch()) {
      this.tickets.retire(submission.job);
    }
    if (standing.digest !== submission.digest) {
      execution.resolve(refuseReusedKey(submission.job));
      return;
    }
    if (standing.cancelled) {
      execution.resolve(
        failJob(execution.job, 'cancelled', 'cancelled by a caller'),
      );
      return;
    }
    if (standing.owner === this.owner.getStartingEpoch()) {
      await this.resume(execution, standing);
      return;
    }
    const answer = await this.attach(submission, deadline, standing);
    if (execution.job.answer !== undefined) return;
    if (answer === undefined) await this.resolveElsewhere(execution);
    else execution.resolve(answer);
  }

  /**
   * Waits for the answer at the job's owner. Undefined: there is none to be had
   * there, also when the owner's epoch ends meanwhile. Two entries that wait for
   * each other, as after a quick restart at the same address, part by this.
   */
  private async attach(
    submission: Submission,
    deadline: Instant,
    {address, owner}: AdmittedJob,
  ): Promise<JobAnswer | undefined> {
    if (address === undefined || address === this.owner.address) {
      return undefined;
    }
    let isAttached = true;
    const attached = this.neighbours
      .attach(address, submission, deadline)
      .finally(() => (isAttached = false));
    const ended = async () => {
      while (isAttached && this.owner.isLive(owner)) await pause(ownerCheckMs);
      return isAttached ? undefined : attached;
    };
    return Promise.race([attached, ended()]);
  }

  /** Continues a job that this epoch owns: as the one that admitted it, or as an heir. */
  private async resume(
    execution: Execution,
    standing: AdmittedJob,
  ): Promise<void> {
    const {submission, deadline} = execution.job;
    if (standing.epoch === standing.owner) {
      if (this.tickets.has(submission.job, standing.ticket))
        this.startConfirmed(execution);
      else this.lose(execution, 'answer-expired', 'the answer is forgotten');
      return;
    }
    const inherited = await this.owner.inherit(submission, deadline, standing);
    if (execution.job.answer !== undefined) return;
    if (this.resumed.has(submission.job)) {
      this.lose(execution, 'answer-expired', 'the answer is forgotten');
      return;
    }
    this.resumed.add(submission.job);
    execution.detach();
    void inherited.answered.then(answer => execution.resolve(answer));
    inherited.own();
    this.keepInherited(inherited);
    if (inherited.job.answer === undefined) this.owner.start(inherited);
  }

  /** Looks for the job's owner until the deadline. */
  async resolveElsewhere(
    execution: Execution,
    reason: UnknownReason = 'control-unavailable',
  ): Promise<void> {
    const {submission} = execution.job;
    for (;;) {
      await pause(retryPauseMs);
      if (execution.job.answer !== undefined) return;
      const found = await this.registrar.lookUp(submission.job);
      if (execution.job.answer !== undefined) return;
      if (found?.kind === 'exists') {
        await this.follow(execution, found.standing);
        return;
      }
      if (found?.kind === 'absent') {
        if (this.owner.getStartingEpoch() === undefined) continue;
        if (execution.reattach()) await this.admit(execution);
        else this.lose(execution, 'answer-expired', 'the record is forgotten');
        return;
      }
      if (this.isNearDeadline(execution)) {
        this.lose(execution, reason, 'control did not answer');
        return;
      }
    }
  }

  private isNearDeadline(execution: Execution): boolean {
    const marginMs = 2 * retryPauseMs;
    return this.owner.clock.now() > execution.job.deadline - marginMs;
  }

  private lose(
    execution: Execution,
    reason: UnknownReason,
    detail: string,
  ): void {
    execution.resolve(loseJob(execution.job, reason, detail));
  }
}

/** Refuses a body under a key that belongs to another one. */
export function refuseReusedKey(job: JobId): JobAnswer {
  return {
    kind: 'not-run',
    job,
    reason: 'key-reused',
    detail: 'the key was used with another body; this body was not run',
    retryAfterMs: 0,
  };
}

function pause(ms: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, ms));
}
