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
import type {AdmittedJob, JobState, LookupResult} from '#protocol';
import type {Logger} from '#telemetry';
import {Execution} from './execution.js';
import {createJob, failJob, loseJob} from './job.js';
import type {Neighbours} from './neighbours.js';
import type {Registrar} from './registrar.js';
import {Retention} from './retention.js';
import {Tickets} from './tickets.js';

/** A refusal as admission control gives it, before control has confirmed it. */
export interface Refusal {
  readonly reason: NotRunReason;
  readonly detail: string;
  readonly retryAfterMs: number;
}

/** What the desk needs of the entry. */
export interface DeskOwner {
  readonly clock: Clock;
  readonly log: Logger;
  /** Where other entries are told to dial this one. */
  readonly address: Address;
  /** True unless the view shows that an epoch is over. */
  readonly isLive: (epoch: Epoch) => boolean;
  /** The epoch held, perhaps past its lease. */
  readonly getEpoch: () => Epoch | undefined;
  readonly getStartingEpoch: () => Epoch | undefined;
  readonly getKeepMs: (unrepeatable: boolean) => number;
  readonly getMaxPlacements: (submission: Submission) => number;
  /** Judges a job that is not known here. */
  readonly judge: (
    submission: Submission,
    deadline: Instant,
  ) => Refusal | undefined;
  /** Starts the job's waiting tasks. */
  readonly start: (execution: Execution) => void;
  /** Stops what runs of a job that is over. */
  readonly stop: (execution: Execution) => void;
  readonly onAnswered: (
    execution: Execution,
    answer: JobAnswer,
    receivedAt: Instant,
  ) => void;
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
/** Answers kept for resubmissions, as JSON. */
const maxAnswerBytes = 32 * 1024 * 1024;

/** Takes in jobs: at most one execution a job in this process, and one owner among all. */
export class Desk {
  private readonly executions = new Map<JobId, Execution>();
  private readonly tickets = new Tickets();
  private readonly retention = new Retention(maxAnswerBytes, job =>
    this.executions.delete(job),
  );
  /** Jobs of ended epochs that this epoch has continued; never a second time. */
  private readonly resumed = new Set<JobId>();

  constructor(
    private readonly owner: DeskOwner,
    private readonly registrar: Registrar,
    private readonly neighbours: Neighbours,
  ) {}

  /** Jobs that have no answer yet. */
  get unanswered(): number {
    return this.listUnanswered().length;
  }

  /** Submits a job, or attaches to the one of the same key, and waits for its answer. */
  async submit(submission: Submission, deadline: Instant): Promise<JobAnswer> {
    const known = this.executions.get(submission.job);
    if (known !== undefined) {
      return known.job.submission.digest === submission.digest
        ? known.answered
        : refuseReusedKey(submission.job);
    }
    const execution = new Execution(
      createJob(submission, deadline),
      this.owner.getMaxPlacements(submission),
    );
    this.keep(execution);
    void this.admit(execution);
    return execution.answered;
  }

  /** Tells how far a job has come, here or at its owner. */
  async peek(job: JobId, deadline: Instant): Promise<JobState> {
    const local = this.peekLocal(job);
    if (local.kind !== 'absent') return local;
    const address = await this.findOwner(job);
    if (address === undefined) return local;
    return (await this.neighbours.peek(address, job, deadline)) ?? local;
  }

  /** Tells how far a job has come in this process. */
  peekLocal(job: JobId): JobState {
    const execution = this.executions.get(job);
    if (execution === undefined) return {kind: 'absent'};
    const {answer, tasks, ended} = execution.job;
    if (answer !== undefined) return {kind: 'answered', answer};
    return {kind: 'running', tasks: tasks.length, ended};
  }

  /** Cancels a job, here or at its owner: once it is answered no task of it starts. */
  async cancel(job: JobId, deadline: Instant): Promise<JobState> {
    if (this.executions.get(job)?.isOwned) return this.cancelLocal(job);
    const address = await this.findOwner(job);
    if (address === undefined) return this.cancelLocal(job);
    const state = await this.neighbours.cancel(address, job, deadline);
    return state ?? this.peekLocal(job);
  }

  /** Cancels a job of this process; what was sent of it has ended when this resolves. */
  async cancelLocal(job: JobId): Promise<JobState> {
    const execution = this.executions.get(job);
    if (execution !== undefined && execution.job.answer === undefined) {
      const settled = execution.cancel();
      this.owner.stop(execution);
      await Promise.race([settled, execution.answered]);
      this.end(
        execution,
        failJob(execution.job, 'cancelled', 'cancelled by the caller'),
      );
    }
    return this.peekLocal(job);
  }

  /** The epoch is over: its jobs are answered by whoever owns them now. */
  relinquish(): void {
    this.tickets.clear();
    this.resumed.clear();
    for (const execution of this.listUnanswered()) {
      if (execution.isOver) continue;
      execution.detach();
      void this.resolveElsewhere(execution);
    }
  }

  private keep(execution: Execution): void {
    const {submission, deadline} = execution.job;
    this.executions.set(submission.job, execution);
    const receivedAt = this.owner.clock.now();
    const remainingMs = computeRemainingMs(receivedAt, deadline);
    const expiry = setTimeout(() => {
      this.end(execution, expireJob(execution));
    }, remainingMs);
    void execution.answered.then(answer => {
      clearTimeout(expiry);
      this.owner.onAnswered(execution, answer, receivedAt);
      execution.forgetTasks();
      this.forgetLater(execution, answer);
    });
  }

  /** A job of which nothing was sent leaves no trace, so that its key can be used again at once. */
  private forgetLater(execution: Execution, answer: JobAnswer): void {
    const {submission, deadline} = execution.job;
    const forget = () => {
      if (this.executions.get(submission.job) !== execution) return;
      this.executions.delete(submission.job);
      this.retention.release(submission.job);
    };
    const isFinal = answer.kind === 'complete' || answer.kind === 'failed';
    if (!isFinal && !execution.hasSent) {
      forget();
      return;
    }
    const now = this.owner.clock.now();
    const keepMs = this.owner.getKeepMs(false);
    this.retention.keep(submission.job, answer);
    setTimeout(forget, computeRemainingMs(now, deadline) + keepMs).unref();
  }

  private end(execution: Execution, answer: JobAnswer): void {
    if (execution.job.answer !== undefined) return;
    execution.resolve(answer);
    this.owner.stop(execution);
  }

  private async admit(execution: Execution): Promise<void> {
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
    const result = await this.registrar.admit(
      submission,
      epoch,
      ticket,
      computeRemainingMs(this.owner.clock.now(), deadline),
      this.owner.getKeepMs(submission.unrepeatable),
    );
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
    this.executions.set(submission.job, inherited);
    void inherited.answered.then(answer => execution.resolve(answer));
    inherited.own();
    this.keep(inherited);
    if (inherited.job.answer === undefined) this.owner.start(inherited);
  }

  /** Looks for the job's owner until the deadline. */
  private async resolveElsewhere(
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

  private async findOwner(job: JobId): Promise<string | undefined> {
    const found: LookupResult | undefined = await this.registrar.lookUp(job);
    return found?.kind === 'exists' ? found.standing.address : undefined;
  }

  private listUnanswered(): readonly Execution[] {
    return [...this.executions.values()].filter(
      ({job}) => job.answer === undefined,
    );
  }
}

function refuseReusedKey(job: JobId): JobAnswer {
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

/** Answers a job at its deadline. Only its owner knows that it has failed. */
function expireJob(execution: Execution): JobAnswer {
  if (execution.isOwned) {
    return failJob(execution.job, 'deadline-passed', 'the deadline passed');
  }
  return {
    kind: 'unknown',
    job: execution.job.submission.job,
    reason: 'owner-unreachable',
    detail: 'the deadline passed before the owner of the job answered',
  };
}
