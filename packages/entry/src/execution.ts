import type {JobAnswer} from '#model';
import {applyJobEvent, type Job, type JobEvent} from './job.js';

/** A job in hand and the promise of its one answer. */
export class Execution {
  /** Resolves once, with the job's answer. */
  readonly answered: Promise<JobAnswer>;

  private resolveAnswer!: (answer: JobAnswer) => void;
  private owned = false;
  private detached = false;
  private sent = false;
  private cancelled = false;
  private detachments = 0;
  private inFlight = 0;
  private readonly emptied: (() => void)[] = [];
  private longestMs = 0;

  constructor(
    public job: Job,
    private readonly maxPlacements: number,
  ) {
    this.answered = new Promise(resolve => (this.resolveAnswer = resolve));
  }

  /** True when nothing more may be placed for this job here. */
  get isOver(): boolean {
    return this.cancelled || this.detached || this.job.answer !== undefined;
  }

  /** Counts the detachments so far: an attempt at admission ends with the next one. */
  get detachmentCount(): number {
    return this.detachments;
  }

  /** True when this entry decides the job's answer. */
  get isOwned(): boolean {
    return this.owned && !this.detached;
  }

  /** True when a task may have started from here. */
  get hasSent(): boolean {
    return this.sent;
  }

  /** The longest run of a task so far, in ms. */
  get longestRunMs(): number {
    return this.longestMs;
  }

  recordRun(runMs: number): void {
    this.longestMs = Math.max(this.longestMs, runMs);
  }

  /** Applies an event and resolves the answer when the job is over. */
  apply(event: JobEvent): void {
    if (this.job.answer !== undefined) return;
    if (this.detached && event.kind !== 'abandoned') return;
    this.sent ||= event.kind === 'sent';
    this.job = applyJobEvent(this.job, event, this.maxPlacements);
    if (this.job.answer !== undefined) this.resolveAnswer(this.job.answer);
  }

  /** Ends the job with an answer from elsewhere, unless it has one. */
  resolve(answer: JobAnswer): void {
    this.apply({kind: 'abandoned', answer});
  }

  /** The admission is confirmed: tasks are placed here, also after a detachment before any was sent. */
  own(): void {
    this.owned = true;
    this.reattach();
  }

  /** Undoes a detachment unless a task was sent before it; true when tasks may be placed here. */
  reattach(): boolean {
    if (!this.sent) this.detached = false;
    return !this.detached;
  }

  /** Drops the tasks of a job that is answered: who asks again needs the answer only. */
  forgetTasks(): void {
    const {submission} = this.job;
    this.job = {...this.job, submission: {...submission, tasks: []}, tasks: []};
  }

  /** Counts a task that is sent as in flight, until `endTask`. */
  beginTask(): void {
    this.inFlight++;
  }

  /** The fate of a task that was sent is known. */
  endTask(): void {
    this.inFlight--;
    if (this.inFlight > 0) return;
    for (const resolve of this.emptied.splice(0)) resolve();
  }

  /** Stops placing tasks here; resolves once none that was sent can start any more. */
  cancel(): Promise<void> {
    this.cancelled = true;
    if (this.inFlight === 0) return Promise.resolve();
    return new Promise(resolve => this.emptied.push(resolve));
  }

  /** Stops placing tasks here: another entry owns the job now. */
  detach(): void {
    this.detached = true;
    this.detachments++;
  }
}
