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
import {createFailedAnswer, createUnknownAnswer} from './job.js';
import type {PeerEntries} from './peer-entries.js';
import type {Registrar} from './registrar.js';
import {OpenTickets} from './tickets.js';

/** A refusal by admission control, not yet confirmed by control. */
export interface Refusal {
  readonly reason: NotRunReason;
  readonly detail: string;
  readonly retryAfterMs: number;
}

/** What `Ownership` needs from the entry. */
export interface OwnershipOwner {
  readonly clock: Clock;
  /** The address that other entries connect to. */
  readonly address: Address;
  /** True unless the view shows that the epoch has ended. */
  readonly isEpochLive: (epoch: Epoch) => boolean;
  /** The current epoch, if any; its lease may have expired. */
  readonly getEpoch: () => Epoch | undefined;
  readonly getStartingEpoch: () => Epoch | undefined;
  readonly getRetentionMs: (unrepeatable: boolean) => number;
  /** Checks admission of a job that this entry does not know. */
  readonly checkAdmission: (
    submission: Submission,
    deadline: Instant,
  ) => Refusal | undefined;
  /** Counts a job's tasks as waiting until disposal, for the time its admission takes. */
  readonly trackPendingAdmission: (submission: Submission) => Disposable;
  /** Starts the job's waiting tasks. */
  readonly start: (execution: Execution) => void;
  /**
   * Rebuilds a job of an ended epoch; the execution has an answer already when the job cannot be
   * continued.
   */
  readonly inherit: (
    submission: Submission,
    deadline: Instant,
    record: AdmittedJob,
  ) => Promise<Execution>;
}

const retryPauseMs = 100;
/** Interval at which a waiting entry checks that the owner's epoch has not ended. */
const ownerCheckMs = 500;

/**
 * Determines which epoch owns a job: this entry's own, which then starts the job
 * at most once, or another entry's, whose answer is awaited.
 */
export class Ownership {
  private readonly tickets = new OpenTickets();
  /** Jobs of ended epochs that this epoch has continued; a job is continued at most once. */
  private readonly resumed = new Set<JobId>();

  constructor(
    private readonly owner: OwnershipOwner,
    private readonly registrar: Registrar,
    private readonly peerEntries: PeerEntries,
    /** Replaces the execution that requested an inherited job with the rebuilt one. */
    private readonly replaceExecution: (execution: Execution) => void,
  ) {}

  /** Clears the state of an epoch that has ended. */
  clear(): void {
    this.tickets.clear();
    this.resumed.clear();
  }

  /**
   * Records the job with control for this epoch and starts it, or gets its answer from the owner.
   */
  async admit(execution: Execution): Promise<void> {
    const {submission, deadline} = execution.job;
    const refusal = this.owner.checkAdmission(submission, deadline);
    if (refusal !== undefined) {
      await this.confirmRefusal(execution, refusal);
      return;
    }
    const epoch = this.owner.getStartingEpoch();
    if (epoch === undefined) {
      await this.resolveByLookup(execution);
      return;
    }
    const detachments = execution.detachmentCount;
    const ticket = this.tickets.issue(submission.job);
    const pendingAdmission = this.owner.trackPendingAdmission(submission);
    const result = await this.registrar.admit(
      submission,
      epoch,
      ticket,
      computeRemainingMs(this.owner.clock.now(), deadline),
      this.owner.getRetentionMs(submission.unrepeatable),
    );
    pendingAdmission[Symbol.dispose]();
    if (execution.isOver || execution.detachmentCount !== detachments) return;
    if (result === undefined) {
      await this.resolveByLookup(execution, 'admission-unconfirmed');
      return;
    }
    switch (result.kind) {
      case 'admitted':
        this.startConfirmed(execution);
        return;
      case 'exists':
        await this.resolveFromRecord(execution, result.standing);
        return;
      case 'ended':
        await this.retryAdmission(execution);
        return;
      default:
        failUnreachable(result);
    }
  }

  /**
   * Starts a job whose admission is confirmed and retires its tickets, so that it cannot start
   * again.
   */
  private startConfirmed(execution: Execution): void {
    this.tickets.retire(execution.job.submission.job);
    execution.markOwned();
    this.owner.start(execution);
  }

  /** Returns a refusal only when control confirms that the job has no record. */
  private async confirmRefusal(
    execution: Execution,
    refusal: Refusal,
  ): Promise<void> {
    const {job} = execution.job.submission;
    const found = await this.registrar.lookUp(job);
    if (found === undefined) {
      this.resolveUnknown(execution, 'control-unavailable', refusal.detail);
      return;
    }
    if (found.kind === 'exists') {
      await this.resolveFromRecord(execution, found.standing);
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

  /** Gets the answer of a recorded job from its owner. */
  private async resolveFromRecord(
    execution: Execution,
    record: AdmittedJob,
  ): Promise<void> {
    const {submission, deadline} = execution.job;
    if (record.epoch !== this.owner.getEpoch()) {
      this.tickets.retire(submission.job);
    }
    if (record.digest !== submission.digest) {
      execution.resolve(refuseReusedKey(submission.job));
      return;
    }
    if (record.cancelled) {
      execution.resolve(
        createFailedAnswer(execution.job, 'cancelled', 'cancelled by a caller'),
      );
      return;
    }
    if (record.owner === this.owner.getStartingEpoch()) {
      await this.resume(execution, record);
      return;
    }
    const answer = await this.attach(submission, deadline, record);
    if (execution.job.answer !== undefined) return;
    if (answer === undefined) await this.resolveByLookup(execution);
    else execution.resolve(answer);
  }

  /**
   * Waits for the answer from the job's owner; undefined when the owner cannot
   * provide it or its epoch ends meanwhile. The check of the epoch also resolves
   * deadlocks between entries that wait for each other, which a quick restart at
   * the same address can cause.
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
    const attached = this.peerEntries
      .attach(address, submission, deadline)
      .finally(() => (isAttached = false));
    const waitForEpochEnd = async () => {
      while (isAttached && this.owner.isEpochLive(owner))
        await pause(ownerCheckMs);
      return isAttached ? undefined : attached;
    };
    return Promise.race([attached, waitForEpochEnd()]);
  }

  /**
   * Continues a job that this epoch owns, either because it admitted the job or as successor of the
   * epoch that did.
   */
  private async resume(
    execution: Execution,
    record: AdmittedJob,
  ): Promise<void> {
    const {submission, deadline} = execution.job;
    if (record.epoch === record.owner) {
      if (this.tickets.has(submission.job, record.ticket))
        this.startConfirmed(execution);
      else
        this.resolveUnknown(
          execution,
          'answer-expired',
          'the answer is forgotten',
        );
      return;
    }
    const inherited = await this.owner.inherit(submission, deadline, record);
    if (execution.job.answer !== undefined) return;
    if (this.resumed.has(submission.job)) {
      this.resolveUnknown(
        execution,
        'answer-expired',
        'the answer is forgotten',
      );
      return;
    }
    this.resumed.add(submission.job);
    execution.detach();
    void inherited.answered.then(answer => execution.resolve(answer));
    inherited.markOwned();
    this.replaceExecution(inherited);
    if (inherited.job.answer === undefined) this.owner.start(inherited);
  }

  /**
   * Looks up the job's record until control answers or the deadline is near, and resolves the job
   * accordingly. A job without a record is admitted again unless one of its tasks was sent.
   */
  async resolveByLookup(
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
        await this.resolveFromRecord(execution, found.standing);
        return;
      }
      if (found?.kind === 'absent') {
        if (this.owner.getStartingEpoch() === undefined) continue;
        if (execution.reattach()) await this.admit(execution);
        else
          this.resolveUnknown(
            execution,
            'answer-expired',
            'the record is forgotten',
          );
        return;
      }
      if (this.isNearDeadline(execution)) {
        this.resolveUnknown(execution, reason, 'control did not answer');
        return;
      }
    }
  }

  private isNearDeadline(execution: Execution): boolean {
    const marginMs = 2 * retryPauseMs;
    return this.owner.clock.now() > execution.job.deadline - marginMs;
  }

  private resolveUnknown(
    execution: Execution,
    reason: UnknownReason,
    detail: string,
  ): void {
    execution.resolve(createUnknownAnswer(execution.job, reason, detail));
  }
}

/** Refuses a key that was already used with a different body. */
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
