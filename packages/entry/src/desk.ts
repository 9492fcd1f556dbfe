import {
  computeRemainingMs,
  type Instant,
  type JobAnswer,
  type JobId,
  type Submission,
} from '#model';
import type {JobState, LookupResult} from '#protocol';
import {Execution} from './execution.js';
import {createJob, failJob, loseJob} from './job.js';
import type {Neighbours} from './neighbours.js';
import {Ownership, type OwnershipOwner, refuseReusedKey} from './ownership.js';
import type {Registrar} from './registrar.js';
import {Retention} from './retention.js';

/** What the desk needs of the entry. */
export interface DeskOwner extends OwnershipOwner {
  readonly getMaxPlacements: (submission: Submission) => number;
  /** Stops what runs of a job that is over. */
  readonly stop: (execution: Execution) => void;
  readonly onAnswered: (
    execution: Execution,
    answer: JobAnswer,
    receivedAt: Instant,
  ) => void;
}

/** Answers kept for resubmissions, as JSON. */
const maxAnswerBytes = 32 * 1024 * 1024;

/** Takes in jobs: at most one execution a job in this process, and one owner among all. */
export class Desk {
  private readonly executions = new Map<JobId, Execution>();
  private readonly retention = new Retention(maxAnswerBytes, job =>
    this.executions.delete(job),
  );
  private readonly ownership: Ownership;

  constructor(
    private readonly owner: DeskOwner,
    private readonly registrar: Registrar,
    private readonly neighbours: Neighbours,
  ) {
    this.ownership = new Ownership(owner, registrar, neighbours, inherited =>
      this.keep(inherited),
    );
  }

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
    void this.ownership.admit(execution);
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
      await this.endCancelled(execution);
    }
    return this.peekLocal(job);
  }

  /** The epoch is over: its jobs are answered by whoever owns them now. */
  relinquish(): void {
    this.ownership.clear();
    for (const execution of this.listUnanswered()) {
      if (execution.isOver) continue;
      execution.detach();
      void this.ownership.resolveElsewhere(execution);
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

  /** Answers a cancelled job once control has it on record, so that an heir does not start it. */
  private async endCancelled(execution: Execution): Promise<void> {
    if (execution.job.answer !== undefined) return;
    const recorded = await this.registrar.cancel(execution.job.submission.job);
    this.end(
      execution,
      recorded
        ? failJob(execution.job, 'cancelled', 'cancelled by the caller')
        : loseJob(
            execution.job,
            'control-unavailable',
            'the cancellation could not be recorded',
          ),
    );
  }

  private end(execution: Execution, answer: JobAnswer): void {
    if (execution.job.answer !== undefined) return;
    execution.resolve(answer);
    this.owner.stop(execution);
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
