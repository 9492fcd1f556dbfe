import {
  computeRemainingMs,
  type Instant,
  type JobAnswer,
  type JobId,
  type Submission,
} from '#model';
import type {JobState, LookupResult} from '#protocol';
import {Execution} from './execution.js';
import {createJob, createFailedAnswer, createUnknownAnswer} from './job.js';
import type {PeerEntries} from './peer-entries.js';
import {Ownership, type OwnershipOwner, refuseReusedKey} from './ownership.js';
import type {Registrar} from './registrar.js';
import {AnswerRetention} from './retention.js';

/** What the job coordinator needs from the entry. */
export interface JobCoordinatorOwner extends OwnershipOwner {
  readonly getMaxPlacements: (submission: Submission) => number;
  /** Stops the tasks of a job that is over. */
  readonly stop: (execution: Execution) => void;
  readonly onAnswered: (
    execution: Execution,
    answer: JobAnswer,
    receivedAt: Instant,
  ) => void;
}

/** Upper bound on the answers retained for resubmissions, as JSON. */
const maxAnswerBytes = 32 * 1024 * 1024;

/** Accepts jobs: at most one execution per job in this process, and one owner among all entries. */
export class JobCoordinator {
  private readonly executions = new Map<JobId, Execution>();
  private readonly retention = new AnswerRetention(maxAnswerBytes, job =>
    this.executions.delete(job),
  );
  private readonly ownership: Ownership;

  constructor(
    private readonly owner: JobCoordinatorOwner,
    private readonly registrar: Registrar,
    private readonly peerEntries: PeerEntries,
  ) {
    this.ownership = new Ownership(owner, registrar, peerEntries, inherited =>
      this.track(inherited),
    );
  }

  /** Number of jobs without an answer. */
  get unanswered(): number {
    return this.listUnanswered().length;
  }

  /** Submits a job, or attaches to the job with the same key, and resolves with its answer. */
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
    this.track(execution);
    void this.ownership.admit(execution);
    return execution.answered;
  }

  /** Returns the progress of a job, from this entry or from the job's owner. */
  async peek(job: JobId, deadline: Instant): Promise<JobState> {
    const local = this.peekLocal(job);
    if (local.kind !== 'absent') return local;
    const address = await this.findOwner(job);
    if (address === undefined) return local;
    return (await this.peerEntries.peek(address, job, deadline)) ?? local;
  }

  /** Returns the progress of a job in this process. */
  peekLocal(job: JobId): JobState {
    const execution = this.executions.get(job);
    if (execution === undefined) return {kind: 'absent'};
    const {answer, tasks, ended} = execution.job;
    if (answer !== undefined) return {kind: 'answered', answer};
    return {kind: 'running', tasks: tasks.length, ended};
  }

  /** Cancels a job, here or at its owner. Once it has an answer, none of its tasks starts. */
  async cancel(job: JobId, deadline: Instant): Promise<JobState> {
    if (this.executions.get(job)?.isOwned) return this.cancelLocal(job);
    const address = await this.findOwner(job);
    if (address === undefined) return this.cancelLocal(job);
    const state = await this.peerEntries.cancel(address, job, deadline);
    return state ?? this.peekLocal(job);
  }

  /**
   * Cancels a job of this process and resolves once it has an answer. Unless the job is answered
   * first, its sent tasks have ended by then.
   */
  async cancelLocal(job: JobId): Promise<JobState> {
    const execution = this.executions.get(job);
    if (execution !== undefined && execution.job.answer === undefined) {
      const settled = execution.cancel();
      this.owner.stop(execution);
      await Promise.race([settled, execution.answered]);
      await this.finishCancellation(execution);
    }
    return this.peekLocal(job);
  }

  /**
   * Gives up the jobs of an epoch that has ended: their answers come from the entry that owns them
   * now.
   */
  relinquish(): void {
    this.ownership.clear();
    for (const execution of this.listUnanswered()) {
      if (execution.isOver) continue;
      execution.detach();
      void this.ownership.resolveByLookup(execution);
    }
  }

  private track(execution: Execution): void {
    const {submission, deadline} = execution.job;
    this.executions.set(submission.job, execution);
    const receivedAt = this.owner.clock.now();
    const remainingMs = computeRemainingMs(receivedAt, deadline);
    const expiry = setTimeout(() => {
      this.end(execution, createExpiredAnswer(execution));
    }, remainingMs);
    void execution.answered.then(answer => {
      clearTimeout(expiry);
      this.owner.onAnswered(execution, answer, receivedAt);
      execution.dropTasks();
      this.scheduleRemoval(execution, answer);
    });
  }

  /**
   * Removes a job when its retention ends. A job without a final answer of which no task was sent
   * is removed now, so that its key can be reused at once.
   */
  private scheduleRemoval(execution: Execution, answer: JobAnswer): void {
    const {submission, deadline} = execution.job;
    const remove = () => {
      if (this.executions.get(submission.job) !== execution) return;
      this.executions.delete(submission.job);
      this.retention.release(submission.job);
    };
    const isFinal = answer.kind === 'complete' || answer.kind === 'failed';
    if (!isFinal && !execution.hasSent) {
      remove();
      return;
    }
    const now = this.owner.clock.now();
    const keepMs = this.owner.getRetentionMs(false);
    this.retention.keep(submission.job, answer);
    setTimeout(remove, computeRemainingMs(now, deadline) + keepMs).unref();
  }

  /**
   * Answers a cancelled job once control has recorded the cancellation, so that a successor does
   * not start the job.
   */
  private async finishCancellation(execution: Execution): Promise<void> {
    if (execution.job.answer !== undefined) return;
    const recorded = await this.registrar.cancel(execution.job.submission.job);
    this.end(
      execution,
      recorded
        ? createFailedAnswer(
            execution.job,
            'cancelled',
            'cancelled by the caller',
          )
        : createUnknownAnswer(
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

/**
 * Creates the answer of a job whose deadline passed. Only the owner can tell that the job failed;
 * elsewhere its outcome is unknown.
 */
function createExpiredAnswer(execution: Execution): JobAnswer {
  if (execution.isOwned) {
    return createFailedAnswer(
      execution.job,
      'deadline-passed',
      'the deadline passed',
    );
  }
  return {
    kind: 'unknown',
    job: execution.job.submission.job,
    reason: 'owner-unreachable',
    detail: 'the deadline passed before the owner of the job answered',
  };
}
