import type {JobAnswer} from '#model';
import {applyJobEvent, type Job, type JobEvent} from './job.js';

/** A job being processed by this entry, with a promise of its answer. */
export class Execution {
  /** Resolves with the job's answer. */
  readonly answered: Promise<JobAnswer>;

  private resolveAnswer!: (answer: JobAnswer) => void;
  private owned = false;
  private detached = false;
  private sent = false;
  private cancelled = false;
  private detachments = 0;
  private inFlight = 0;
  private readonly idleCallbacks: (() => void)[] = [];
  private longestMs = 0;

  constructor(
    public job: Job,
    private readonly maxPlacements: number,
  ) {
    this.answered = new Promise(resolve => (this.resolveAnswer = resolve));
  }

  /** True when this entry may not place any more tasks of the job. */
  get isOver(): boolean {
    return this.cancelled || this.detached || this.job.answer !== undefined;
  }

  /** Number of detachments so far. A new detachment invalidates any admission attempt under way. */
  get detachmentCount(): number {
    return this.detachments;
  }

  /** True when this entry owns the job and decides its answer. */
  get isOwned(): boolean {
    return this.owned && !this.detached;
  }

  /** True when this entry has sent a task, so that the task may have started. */
  get hasSent(): boolean {
    return this.sent;
  }

  /** The longest run time of a task so far, in ms. */
  get longestRunMs(): number {
    return this.longestMs;
  }

  recordRun(runMs: number): void {
    this.longestMs = Math.max(this.longestMs, runMs);
  }

  /** Applies an event and resolves `answered` when the job is over. */
  apply(event: JobEvent): void {
    if (this.job.answer !== undefined) return;
    if (this.detached && event.kind !== 'abandoned') return;
    this.sent ||= event.kind === 'sent';
    this.job = applyJobEvent(this.job, event, this.maxPlacements);
    if (this.job.answer !== undefined) this.resolveAnswer(this.job.answer);
  }

  /** Ends the job with the given answer, unless it already has one. */
  resolve(answer: JobAnswer): void {
    this.apply({kind: 'abandoned', answer});
  }

  /**
   * Marks the job as owned after its admission was confirmed. Tasks may be placed here, even after
   * a detachment if none was sent before.
   */
  markOwned(): void {
    this.owned = true;
    this.reattach();
  }

  /** Undoes a detachment unless a task has been sent; true when tasks may be placed here. */
  reattach(): boolean {
    if (!this.sent) this.detached = false;
    return !this.detached;
  }

  /** Drops the tasks of an answered job to free memory: a resubmission needs the answer only. */
  dropTasks(): void {
    const {submission} = this.job;
    this.job = {...this.job, submission: {...submission, tasks: []}, tasks: []};
  }

  /** Counts a sent task as in flight until `endTask`. */
  beginTask(): void {
    this.inFlight++;
  }

  /** Records that the outcome of a sent task is known. */
  endTask(): void {
    this.inFlight--;
    if (this.inFlight > 0) return;
    for (const resolve of this.idleCallbacks.splice(0)) resolve();
  }

  /** Stops placing tasks; resolves once the outcome of every sent task is known. */
  cancel(): Promise<void> {
    this.cancelled = true;
    if (this.inFlight === 0) return Promise.resolve();
    return new Promise(resolve => this.idleCallbacks.push(resolve));
  }

  /**
   * Stops placing tasks here, because the epoch has ended or another execution continues the job.
   */
  detach(): void {
    this.detached = true;
    this.detachments++;
  }
}
