import type {ProposeResult} from './host-options.js';

/** A command that has not been appended to the log yet. */
export interface Proposal<Result> {
  readonly command: Uint8Array;
  readonly settle: (result: ProposeResult<Result>) => void;
}

/** Longest wait for a sync to end: while this replica's disk hangs, the others may still commit. */
const maxHoldMs = 20;

/**
 * Batches proposals into one append: those made in one turn of the event loop,
 * and those made during a sync, which could not be synced earlier anyway.
 */
export class ProposalQueue<Result> {
  private waiting: Proposal<Result>[] = [];
  private syncsInProgress = 0;
  private flushImmediate: NodeJS.Immediate | undefined;
  private holdTimer: NodeJS.Timeout | undefined;

  constructor(
    private readonly append: (batch: readonly Proposal<Result>[]) => void,
  ) {}

  add(proposal: Proposal<Result>): void {
    this.waiting.push(proposal);
    if (this.syncsInProgress === 0) {
      this.flushImmediate ??= setImmediate(() => this.flush());
      return;
    }
    this.holdTimer ??= setTimeout(() => this.flush(), maxHoldMs);
  }

  beginSync(): void {
    this.syncsInProgress++;
  }

  /** Appends the waiting proposals once no sync is in progress. */
  endSync(): void {
    this.syncsInProgress--;
    if (this.syncsInProgress === 0) this.flush();
  }

  /** Returns the proposals that are still waiting; they are not appended. */
  close(): readonly Proposal<Result>[] {
    return this.takeWaiting();
  }

  private flush(): void {
    const batch = this.takeWaiting();
    if (batch.length > 0) this.append(batch);
  }

  private takeWaiting(): readonly Proposal<Result>[] {
    clearImmediate(this.flushImmediate);
    clearTimeout(this.holdTimer);
    this.flushImmediate = undefined;
    this.holdTimer = undefined;
    const {waiting} = this;
    this.waiting = [];
    return waiting;
  }
}
